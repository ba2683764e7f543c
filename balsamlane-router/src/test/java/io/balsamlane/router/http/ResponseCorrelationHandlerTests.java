package io.balsamlane.router.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.balsamlane.router.http.UnmatchedResponse.Reason;
import io.balsamlane.standin.proxy.InvalidResponse;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpClientOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against responses that are attributed to a request which they do not belong to,
 * and against requests whose own response is discarded.
 */
class ResponseCorrelationHandlerTests {

	private static final String OWN = response("200 OK", "Id: b\r\n", "own");

	private final List<UnmatchedResponse> unmatched = new ArrayList<>();

	private ResponseCorrelationHandler handler;

	private final EmbeddedChannel channel = channel(Optional.of("Id"));

	private int ids;

	private EmbeddedChannel channel(Optional<String> header) {
		this.handler = new ResponseCorrelationHandler(header, () -> "generated-" + ++this.ids, this.unmatched::add,
				(context) -> context.channel().eventLoop().execute(context::close));
		return new EmbeddedChannel(this.handler.idleGuard(), this.handler.codec(new HttpClientOptions()), this.handler);
	}

	@AfterEach
	void close() {
		this.channel.finishAndReleaseAll();
	}

	private static String response(String status, String headers, String content) {
		return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + content.length() + "\r\n\r\n" + content;
	}

	private void send(HttpMethod method, String id) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/");
		if (!id.isEmpty()) {
			request.headers().set("Id", id);
		}
		this.channel.writeOutbound(request);
	}

	private void receive(String text) {
		this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
	}

	/** Return the contents of all responses that were passed on, each with its status. */
	private List<String> passedOn() {
		List<String> responses = new ArrayList<>();
		for (Object message = this.channel.readInbound(); message != null; message = this.channel.readInbound()) {
			if (message instanceof HttpResponse response) {
				responses.add(response.status().code() + " ");
			}
			if (message instanceof HttpContent content && content.content().isReadable()) {
				int last = responses.size() - 1;
				responses.set(last, responses.get(last) + content.content().toString(StandardCharsets.ISO_8859_1));
			}
			ReferenceCountUtil.release(message);
		}
		return responses;
	}

	private void exchange() {
		send(HttpMethod.GET, "a");
		receive(response("200 OK", "Id: a\r\n", "first"));
		assertThat(passedOn()).containsExactly("200 first");
	}

	@ParameterizedTest
	@ValueSource(strings = { "Id: a\r\n", "Id: b\r\nId: a\r\n", "" })
	void lateSecondResponseIsDiscardedAndOwnResponsePassedOn(String idLines) {
		exchange();
		send(HttpMethod.POST, "b");
		receive(response("200 OK", idLines, "second"));
		receive(response("503 No", idLines, "third"));
		assertThat(passedOn()).isEmpty();
		receive(OWN);
		assertThat(passedOn()).containsExactly("200 own");
		assertThat(this.unmatched).extracting(UnmatchedResponse::reason)
			.containsOnly(idLines.isEmpty() ? Reason.UNIDENTIFIED : Reason.OTHER_REQUEST)
			.hasSize(2);
	}

	@Test
	void connectionIsNotUsedAgainAfterLateSecondResponse() {
		exchange();
		send(HttpMethod.GET, "b");
		receive(response("200 OK", "Id: a\r\n", "second"));
		receive(response("200 OK", "Id: b\r\nConnection: X-Hop\r\n", "own"));
		HttpResponse response = this.channel.readInbound();
		assertThat(response.headers().getAll("Connection")).containsExactly("close", "X-Hop");
	}

	@Test
	void connectionOfServerThatEchoesIdsIsKept() {
		for (String id : new String[] { "a", "b", "c" }) {
			send(HttpMethod.GET, id);
			receive("HTTP/1.1 100 Continue\r\n\r\n" + response("200 OK", "Id: " + id + "\r\n", id));
			HttpResponse informational = this.channel.readInbound();
			assertThat(informational.status().code()).isEqualTo(100);
			ReferenceCountUtil.release(this.channel.readInbound());
			HttpResponse response = this.channel.readInbound();
			assertThat(response.headers().contains("Connection")).isFalse();
			ReferenceCountUtil.release(this.channel.readInbound());
			assertThat(passedOn()).isEmpty();
		}
		assertThat(this.channel.isOpen()).isTrue();
		assertThat(this.unmatched).isEmpty();
	}

	@Test
	void responseWithoutIdIsAcceptedOnlyAsFirstOfItsConnection() {
		send(HttpMethod.GET, "a");
		receive(response("200 OK", "", "first"));
		HttpResponse response = this.channel.readInbound();
		assertThat(response.headers().getAll("Connection")).containsExactly("close");
		assertThat(this.unmatched).isEmpty();
	}

	@Test
	void requestWithoutIdReceivesOne() {
		send(HttpMethod.GET, "");
		receive(response("200 OK", "Id: generated-1\r\n", "first"));
		assertThat(passedOn()).containsExactly("200 first");
		send(HttpMethod.GET, "");
		receive(response("200 OK", "Id: generated-1\r\n", "second"));
		assertThat(passedOn()).isEmpty();
		receive(response("200 OK", "Id: generated-2\r\n", "own"));
		assertThat(passedOn()).containsExactly("200 own");
	}

	@ParameterizedTest
	@ValueSource(strings = { "H", "HTTP/1.1 200 OK\r\nId: a\r\n", "HTTP/1.1 100 Continue\r\n\r\n" })
	void bytesBetweenTwoRequestsCloseTheConnection(String bytes) {
		exchange();
		receive(bytes);
		assertThat(this.channel.isOpen()).isFalse();
		assertThat(this.unmatched).extracting(UnmatchedResponse::reason).containsExactly(Reason.UNSOLICITED);
	}

	@Test
	void secondResponseInTheSameReadClosesTheConnectionAfterTheFirst() {
		send(HttpMethod.GET, "a");
		receive(response("200 OK", "Id: a\r\n", "first") + response("200 OK", "Id: a\r\n", "second"));
		assertThat(passedOn()).containsExactly("200 first");
		assertThat(this.channel.isOpen()).isFalse();
	}

	// The bytes of such a response cannot be told from those of the next.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void undelimitedSecondResponseClosesTheConnection(boolean head) {
		send(head ? HttpMethod.HEAD : HttpMethod.GET, "a");
		receive(head ? "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\n"
				: response("200 OK", "Id: a\r\n", "first"));
		passedOn();
		send(HttpMethod.GET, "b");
		receive(head ? "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\n"
				: "HTTP/1.1 200 OK\r\nId: a\r\n\r\nsecond");
		assertThat(passedOn()).isEmpty();
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Test
	void secondResponseWithoutEndClosesTheConnection() {
		exchange();
		send(HttpMethod.GET, "b");
		receive("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 999999999\r\n\r\n");
		for (int block = 0; block < 20 && this.channel.isOpen(); block++) {
			receive("x".repeat(1 << 16));
		}
		assertThat(this.channel.isOpen()).isFalse();
		assertThat(passedOn()).isEmpty();
	}

	// A server that sends a wrong id, or none, must not hold requests until their
	// deadline.
	@ParameterizedTest
	@ValueSource(strings = { "", "Id: unknown\r\n" })
	void waitForOwnResponseIsLimited(String idLine) {
		this.channel.freezeTime();
		exchange();
		send(HttpMethod.GET, "b");
		receive(response("200 OK", idLine, "second"));
		this.channel.advanceTimeBy(900, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		assertThat(this.channel.isOpen()).isTrue();
		this.channel.advanceTimeBy(200, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Test
	void waitAfterResponseToEarlierRequestIsNotLimited() {
		this.channel.freezeTime();
		exchange();
		send(HttpMethod.GET, "b");
		receive(response("200 OK", "Id: a\r\n", "second"));
		this.channel.advanceTimeBy(5000, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		receive(OWN);
		assertThat(passedOn()).containsExactly("200 own");
	}

	@Test
	void informationalResponsesThatAreDroppedAreLimited() {
		send(HttpMethod.GET, "a");
		receive("HTTP/1.1 102 Processing\r\n\r\n".repeat(20));
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Test
	void ownResponseInProgressIsNotCutByTheLimitedWait() {
		this.channel.freezeTime();
		exchange();
		send(HttpMethod.GET, "b");
		receive(response("200 OK", "", "second") + OWN.substring(0, OWN.length() - 1));
		this.channel.advanceTimeBy(5000, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		receive("n");
		assertThat(passedOn()).containsExactly("200 own");
	}

	@Test
	void connectionIsNotUsedAgainAfterCloseAmongOtherOptions() {
		send(HttpMethod.GET, "a");
		receive(response("200 OK", "Id: a\r\nConnection: X-Hop, close\r\n", "own"));
		HttpResponse response = this.channel.readInbound();
		assertThat(response.headers().get("Connection")).isEqualTo("close");
	}

	@Test
	void otherInformationalResponseIsNotTakenForFinalResponse() {
		send(HttpMethod.GET, "a");
		receive("HTTP/1.1 102 Processing\r\n\r\n" + response("200 OK", "Id: a\r\n", "own"));
		assertThat(passedOn()).containsExactly("200 own");
	}

	@Test
	void connectionDoesNotCarryTwoRequestsWithTheSameId() {
		assertThat(this.handler.mayCarry("a")).isTrue();
		exchange();
		assertThat(this.handler.mayCarry("a")).isFalse();
		assertThat(this.handler.mayCarry("b")).isTrue();
	}

	// A closed connection drops what a slow caller has not received yet.
	@Test
	void connectionIsClosedOnlyWhenItIsNotPaused() {
		this.channel.freezeTime();
		send(HttpMethod.GET, "a");
		this.channel.config().setAutoRead(false);
		receive(response("200 OK", "Id: a\r\n", "first") + response("200 OK", "Id: a\r\n", "second"));
		this.channel.advanceTimeBy(5000, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		assertThat(this.channel.isOpen()).isTrue();
		assertThat(this.handler.mayCarry("b")).isFalse();
		this.channel.config().setAutoRead(true);
		this.channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		this.channel.runPendingTasks();
		assertThat(this.channel.isOpen()).isFalse();
		assertThat(passedOn()).containsExactly("200 first");
	}

	@Test
	void withoutHeaderEachConnectionCarriesOneRequest() {
		EmbeddedChannel single = channel(Optional.empty());
		single.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
		single.writeInbound(Unpooled.copiedBuffer(response("200 OK", "Id: x\r\n", "first"), StandardCharsets.US_ASCII));
		HttpResponse response = single.readInbound();
		assertThat(response.headers().getAll("Connection")).containsExactly("close");
		single.finishAndReleaseAll();
	}

	// Guards against a response that has the status of an unfinished second response.
	@Test
	void unfinishedHeadOfSecondResponseIsNotJoinedWithResponseToNextRequest() {
		send(HttpMethod.GET, "a");
		receive(response("200 OK", "Id: a\r\n", "first") + "HTTP/1.1 500 No\r\nX-Other: ");
		assertThat(passedOn()).containsExactly("200 first");
		assertThat(this.channel.isOpen()).as("the connection may carry another request").isFalse();
	}

	// A response that breaks off within its head must not lend its status to the next
	// one.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void headThatBreaksOffIsNotMergedWithHeadOfOwnResponse(boolean withFirstResponse) {
		String second = "HTTP/1.1 500 Error\r\nOther: x, y\r\nLast: z\r\n\r\n";
		for (int length = 1; length < second.length(); length++) {
			EmbeddedChannel broken = channel(Optional.of("Id"));
			broken.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
			String part = second.substring(0, length);
			String first = response("200 OK", "Id: generated-" + this.ids + "\r\n", "first");
			broken.writeInbound(
					Unpooled.copiedBuffer(first + (withFirstResponse ? part : ""), StandardCharsets.US_ASCII));
			broken.runPendingTasks();
			assertThat(broken.isOpen()).as("%s bytes", length).isNotEqualTo(withFirstResponse);
			if (withFirstResponse) {
				continue;
			}
			broken.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
			String own = response("200 OK", "Id: generated-" + this.ids + "\r\n", "own");
			broken
				.writeInbound(Unpooled.copiedBuffer((withFirstResponse ? "" : part) + own, StandardCharsets.US_ASCII));
			for (Object message = broken.readInbound(); message != null; message = broken.readInbound()) {
				if (message instanceof HttpResponse response && response.decoderResult().isSuccess()) {
					assertThat(response.status().code()).as("%s bytes", length).isEqualTo(200);
				}
				ReferenceCountUtil.release(message);
			}
			broken.finishAndReleaseAll();
		}
	}

	static Stream<InvalidResponse> invalidResponses() {
		return InvalidResponse.all();
	}

	// The head may arrive in any pieces, before or after other responses.
	@ParameterizedTest
	@MethodSource("invalidResponses")
	void invalidResponseIsDecoderFailureAndClosesTheConnection(InvalidResponse fault) {
		for (boolean informational : new boolean[] { false, true }) {
			String text = (informational ? "HTTP/1.1 102 Processing\r\n\r\n" : "") + fault.with("Id: b\r\n", "content");
			int headEnd = text.lastIndexOf("\r\n\r\n", text.length() - "content".length() - 1);
			for (int length = 0; length < headEnd; length++) {
				this.unmatched.clear();
				EmbeddedChannel split = channel(Optional.of("Id"));
				exchange(split, "a");
				split.writeOutbound(request("b"));
				receive(split, text.substring(0, length));
				receive(split, text.substring(length));
				split.runPendingTasks();
				assertThat(contents(split)).as("split after %d bytes", length).isEmpty();
				assertThat(split.isOpen()).as("open after %d bytes", length).isFalse();
				assertThat(this.unmatched).extracting(UnmatchedResponse::reason).containsExactly(Reason.INVALID);
				split.finishAndReleaseAll();
			}
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 Two words",
			"HTTP/1.1 299 X", "HTTP/1.1 999 X", "HTTP/1.1 600 X" })
	void validResponseIsPassedOnHoweverItIsSplit(String statusLine) {
		String text = statusLine + "\r\nId: b\r\nContent-Length: 3\r\n\r\nown";
		for (int length = 0; length < text.length(); length++) {
			EmbeddedChannel split = channel(Optional.of("Id"));
			exchange(split, "a");
			split.writeOutbound(request("b"));
			receive(split, text.substring(0, length));
			receive(split, text.substring(length));
			assertThat(contents(split)).as("split after %d bytes", length).containsExactly("own");
			split.finishAndReleaseAll();
		}
		assertThat(this.unmatched).isEmpty();
	}

	// The system reports the reset of a connection to the write of the upload or to the
	// read, and an ordinary end of the connection to the other.
	@ParameterizedTest
	@ValueSource(strings = { "write fails", "read fails", "closed here" })
	void bodyWithoutLengthIsNotCompleteWhenItsConnectionFails(String failure) {
		EmbeddedChannel broken = channel(Optional.of("Id"));
		boolean[] failing = new boolean[1];
		broken.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
			@Override
			public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
				if (failing[0]) {
					ReferenceCountUtil.release(message);
					promise.tryFailure(new IOException("Connection reset by peer"));
				}
				else {
					context.write(message, promise);
				}
			}
		});
		HttpRequest upload = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
		upload.headers().set("Id", "a").set("Transfer-Encoding", "chunked");
		broken.writeOutbound(upload);
		receive(broken, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart");
		switch (failure) {
			case "write fails" -> {
				failing[0] = true;
				broken.writeOneOutbound(new DefaultHttpContent(Unpooled.copiedBuffer("x", StandardCharsets.US_ASCII)));
				broken.flushOutbound();
			}
			case "read fails" -> broken.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
			default -> broken.pipeline().close();
		}
		endConnection(broken);
		assertThat(ends(broken)).as("ends of the response").isZero();
	}

	@Test
	void bodyWithoutLengthIsCompleteWhenItsConnectionEnds() {
		send(HttpMethod.GET, "a");
		receive("HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole");
		endConnection(this.channel);
		assertThat(ends(this.channel)).isEqualTo(1);
	}

	// As when the server ends the connection: not by a close that passes the handlers.
	private static void endConnection(EmbeddedChannel of) {
		of.unsafe().close(of.voidPromise());
		of.runPendingTasks();
		try {
			of.checkException();
		}
		catch (Exception ex) {
			assertThat(ex).hasMessage("Connection reset by peer");
		}
	}

	private static FullHttpRequest request(String id) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
		request.headers().set("Id", id);
		return request;
	}

	private static void receive(EmbeddedChannel to, String text) {
		if (to.isOpen()) {
			to.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
		}
	}

	private static void exchange(EmbeddedChannel on, String id) {
		on.writeOutbound(request(id));
		receive(on, response("200 OK", "Id: " + id + "\r\n", "first"));
		assertThat(contents(on)).containsExactly("first");
	}

	/** Return the contents that were passed on without a decoder failure. */
	private static List<String> contents(EmbeddedChannel from) {
		StringBuilder content = new StringBuilder();
		for (Object message = from.readInbound(); message != null; message = from.readInbound()) {
			if (message instanceof HttpContent part && part.decoderResult().isSuccess()) {
				content.append(part.content().toString(StandardCharsets.ISO_8859_1));
			}
			if (message instanceof HttpResponse response && response.decoderResult().isSuccess() && content.isEmpty()) {
				assertThat(response.status().code()).isBetween(100, 999);
			}
			ReferenceCountUtil.release(message);
		}
		return content.isEmpty() ? List.of() : List.of(content.toString());
	}

	private static int ends(EmbeddedChannel from) {
		int ends = 0;
		for (Object message = from.readInbound(); message != null; message = from.readInbound()) {
			ends += (message instanceof LastHttpContent) ? 1 : 0;
			ReferenceCountUtil.release(message);
		}
		return ends;
	}

}
