package io.balsamlane.router.http;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Attributes the responses on one HTTP/1.1 connection, which carries one request at a
 * time, to its requests.
 */
final class ResponseCorrelationHandler extends ChannelDuplexHandler {

	private final String idHeader;

	private final Consumer<UnmatchedResponse> listener;

	private int requests;

	private boolean requestInProgress;

	private Optional<String> expectedId = Optional.empty();

	private boolean finalResponse;

	ResponseCorrelationHandler(String idHeader, Consumer<UnmatchedResponse> listener) {
		this.idHeader = idHeader;
		this.listener = listener;
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (message instanceof HttpRequest request) {
			this.requests++;
			this.requestInProgress = true;
			this.expectedId = Optional.ofNullable(request.headers().get(this.idHeader));
		}
		context.write(message, promise);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof HttpResponse response && response.decoderResult().isSuccess()) {
			this.finalResponse = response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
			unmatchedReason(response).ifPresent((reason) -> this.listener.accept(new UnmatchedResponse(
					String.valueOf(context.channel().remoteAddress()), reason, response.status().code(),
					this.expectedId, receivedIds(response).stream().findFirst(), this.requests)));
		}
		if (message instanceof LastHttpContent && this.finalResponse) {
			this.requestInProgress = false;
			this.expectedId = Optional.empty();
		}
		context.fireChannelRead(message);
	}

	private Optional<UnmatchedResponse.Reason> unmatchedReason(HttpResponse response) {
		if (!this.requestInProgress) {
			return Optional.of(UnmatchedResponse.Reason.UNSOLICITED);
		}
		List<String> ids = receivedIds(response);
		if (ids.isEmpty()) {
			return (this.finalResponse && this.requests > 1) ? Optional.of(UnmatchedResponse.Reason.UNIDENTIFIED)
					: Optional.empty();
		}
		return ids.stream().allMatch((id) -> this.expectedId.equals(Optional.of(id))) ? Optional.empty()
				: Optional.of(UnmatchedResponse.Reason.OTHER_REQUEST);
	}

	private List<String> receivedIds(HttpResponse response) {
		return response.headers().getAll(this.idHeader);
	}

}
