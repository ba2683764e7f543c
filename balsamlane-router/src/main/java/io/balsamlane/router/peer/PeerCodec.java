package io.balsamlane.router.peer;

import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Parser;
import io.balsamlane.schema.PeerMessage;
import io.balsamlane.schema.Probe;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

/**
 * Converts messages to signed bytes and back. Not safe for use by several threads.
 */
final class PeerCodec {

	static final int PROTOCOL_VERSION = 1;

	/** Bytes of the code of a frame. */
	static final int FRAME_CODE_BYTES = 32;

	/**
	 * Bytes of the code of a datagram: half of an HMAC-SHA-256, which RFC 2104 allows,
	 * because the code is a large part of a probe.
	 */
	static final int DATAGRAM_CODE_BYTES = 16;

	private final MessageAuthenticator authenticator;

	private final RefusalLog refusals;

	PeerCodec(MessageAuthenticator authenticator, RefusalLog refusals) {
		this.authenticator = authenticator;
		this.refusals = refusals;
	}

	ByteBuf encode(Probe probe) {
		return Unpooled.wrappedBuffer(this.authenticator.sign(probe.toByteArray(), DATAGRAM_CODE_BYTES));
	}

	ByteBuf encode(PeerMessage message) {
		byte[] signed = this.authenticator.sign(message.toByteArray(), FRAME_CODE_BYTES);
		return Unpooled.wrappedBuffer(Unpooled.copyInt(signed.length), Unpooled.wrappedBuffer(signed));
	}

	Optional<Probe> decodeProbe(ByteBuf datagram, Object from) {
		return decode(datagram, DATAGRAM_CODE_BYTES, Probe.parser(), from)
			.filter((probe) -> checkVersion(probe.getProtocolVersion(), from));
	}

	/**
	 * Decodes a frame without checking its version, because a request of another version
	 * gets an answer.
	 * @param frame the frame without its length
	 * @param from the sender, for the log
	 * @return the message, empty if it was refused
	 */
	Optional<PeerMessage> decodeMessage(ByteBuf frame, Object from) {
		return decode(frame, FRAME_CODE_BYTES, PeerMessage.parser(), from);
	}

	boolean checkVersion(int version, Object from) {
		if (version != PROTOCOL_VERSION) {
			this.refusals.refused(RefusalLog.Kind.VERSION, from);
		}
		return version == PROTOCOL_VERSION;
	}

	private <T> Optional<T> decode(ByteBuf bytes, int codeBytes, Parser<T> parser, Object from) {
		byte[] signed = ByteBufUtil.getBytes(bytes);
		if (!this.authenticator.verify(signed, codeBytes)) {
			this.refusals.refused(RefusalLog.Kind.KEY, from);
			return Optional.empty();
		}
		try {
			return Optional.of(parser.parseFrom(signed, 0, signed.length - codeBytes));
		}
		catch (InvalidProtocolBufferException ex) {
			this.refusals.refused(RefusalLog.Kind.GARBAGE, from);
			return Optional.empty();
		}
	}

}
