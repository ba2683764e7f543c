package io.balsamlane.router.intake;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.balsamlane.core.memory.MemoryBudget;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;

/**
 * Accounts for the bytes of responses that a caller has not read, and closes its
 * connection if they are too many or if it reads nothing for some time.
 */
final class UnreadResponseMonitor extends ChannelDuplexHandler {

	/** Two complete responses of the largest size that is read from a server. */
	static final long MAX_UNREAD_BYTES = 2 << 20;

	/** Time within which a caller has to read something, in milliseconds. */
	private static final int READ_TIMEOUT_MILLIS = 15_000;

	private final ConnectionGuard guard;

	private final MemoryBudget.Account account;

	private long unreadBytes;

	private long checkedBytes;

	private Future<?> timer;

	UnreadResponseMonitor(ConnectionGuard guard, MemoryBudget budget) {
		this.guard = guard;
		this.account = budget.open();
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
		if (!(message instanceof ByteBuf bytes) || bytes.readableBytes() == 0) {
			super.write(context, message, promise);
			return;
		}
		// The buffer of a response that was read completely is larger than its content.
		int size = bytes.capacity();
		this.unreadBytes += size;
		super.write(context, message, promise.unvoid().addListener((written) -> {
			this.unreadBytes -= size;
			adjust();
		}));
		// Other responses may be written before this one is flushed.
		if (!adjust() || this.unreadBytes > MAX_UNREAD_BYTES) {
			this.guard.close("response-not-read");
		}
	}

	@Override
	public void flush(ChannelHandlerContext context) throws Exception {
		super.flush(context);
		if (this.unreadBytes > 0 && this.timer == null) {
			this.checkedBytes = pendingBytes(context);
			scheduleCheck(context);
		}
	}

	private void scheduleCheck(ChannelHandlerContext context) {
		this.timer = context.executor().schedule(() -> check(context), READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void check(ChannelHandlerContext context) {
		this.timer = null;
		long pending = pendingBytes(context);
		if (pending == 0) {
			return;
		}
		if (pending >= this.checkedBytes) {
			this.guard.close("response-not-read");
			return;
		}
		this.checkedBytes = pending;
		scheduleCheck(context);
	}

	private static long pendingBytes(ChannelHandlerContext context) {
		ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
		return (buffer != null) ? buffer.totalPendingWriteBytes() : 0;
	}

	private boolean adjust() {
		long missing = this.unreadBytes - this.account.heldBytes();
		if (missing < 0) {
			this.account.release(-missing);
		}
		return missing <= 0 || this.account.tryReserve(missing);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) throws Exception {
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		this.account.close();
		super.channelInactive(context);
	}

}
