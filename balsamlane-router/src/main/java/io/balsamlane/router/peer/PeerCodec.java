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
 * Codec between peer messages and their signed bytes. Not thread-safe.
 */
final class PeerCodec {

	static final int PROTOCOL_VERSION = 1;

	/** Length of the message authentication code of a TCP frame. */
	static final int FRAME_MAC_BYTES = 32;

	/**
	 * Length of the message authentication code of a UDP datagram. It is truncated to
	 * half of an HMAC-SHA-256, as RFC 2104 allows, because the code is a large part of a
	 * probe.
	 */
	static final int DATAGRAM_MAC_BYTES = 16;

	private final MessageAuthenticator authenticator;

	private final RejectionLog rejections;

	PeerCodec(MessageAuthenticator authenticator, RejectionLog rejections) {
		this.authenticator = authenticator;
		this.rejections = rejections;
	}

	ByteBuf encode(Probe probe) {
		return Unpooled.wrappedBuffer(this.authenticator.sign(probe.toByteArray(), DATAGRAM_MAC_BYTES));
	}

	ByteBuf encode(PeerMessage message) {
		byte[] signed = this.authenticator.sign(message.toByteArray(), FRAME_MAC_BYTES);
		return Unpooled.wrappedBuffer(Unpooled.copyInt(signed.length), Unpooled.wrappedBuffer(signed));
	}

	Optional<Probe> decodeProbe(ByteBuf datagram, Object from) {
		return decode(datagram, DATAGRAM_MAC_BYTES, Probe.parser(), from)
			.filter((probe) -> checkVersion(probe.getProtocolVersion(), from));
	}

	/**
	 * Decode a frame without checking the protocol version, so that a request of another
	 * version can be answered with an error.
	 * @param frame the frame without its length field
	 * @param from the sender, for the log
	 * @return the message, empty if it was rejected
	 */
	Optional<PeerMessage> decodeMessage(ByteBuf frame, Object from) {
		return decode(frame, FRAME_MAC_BYTES, PeerMessage.parser(), from);
	}

	boolean checkVersion(int version, Object from) {
		if (version != PROTOCOL_VERSION) {
			this.rejections.record(RejectionLog.Reason.VERSION, from);
		}
		return version == PROTOCOL_VERSION;
	}

	private <T> Optional<T> decode(ByteBuf bytes, int macBytes, Parser<T> parser, Object from) {
		byte[] signed = ByteBufUtil.getBytes(bytes);
		if (!this.authenticator.verify(signed, macBytes)) {
			this.rejections.record(RejectionLog.Reason.UNAUTHENTICATED, from);
			return Optional.empty();
		}
		try {
			return Optional.of(parser.parseFrom(signed, 0, signed.length - macBytes));
		}
		catch (InvalidProtocolBufferException ex) {
			this.rejections.record(RejectionLog.Reason.MALFORMED, from);
			return Optional.empty();
		}
	}

}
