package io.balsamlane.core.scheduling;

import java.util.Arrays;

/**
 * Which prefill engines hold which prompt blocks, in a table of fixed size that replaces
 * the block unused for longest in its set.
 */
final class PrefixTable {

	private static final int WAYS = 8;

	private static final int HOLDERS = 4;

	private final long[] blocks;

	private final int[] usedTicks;

	/** Engine index in the upper 16 bits plus one, its generation in the lower 16. */
	private final int[] holders;

	private final int setMask;

	private int tick;

	PrefixTable(int slots) {
		this.blocks = new long[Math.max(WAYS, slots)];
		this.usedTicks = new int[this.blocks.length];
		this.holders = new int[this.blocks.length * HOLDERS];
		this.setMask = this.blocks.length / WAYS - 1;
	}

	private int find(long block) {
		int base = base(block);
		for (int slot = base; slot < base + WAYS; slot++) {
			if (this.blocks[slot] == block && this.usedTicks[slot] != 0) {
				return slot;
			}
		}
		return -1;
	}

	private int base(long block) {
		long mixed = block * 0x9E3779B97F4A7C15L;
		return (int) ((mixed >>> 32) & this.setMask) * WAYS;
	}

	private static int holder(int engine, int generation) {
		return ((engine + 1) << 16) | (generation & 0xFFFF);
	}

	void store(long block, int engine, int generation) {
		int slot = find(block);
		if (slot < 0) {
			slot = base(block);
			for (int other = slot + 1; other < base(block) + WAYS; other++) {
				if (this.usedTicks[other] < this.usedTicks[slot]) {
					slot = other;
				}
			}
			this.blocks[slot] = block;
			Arrays.fill(this.holders, slot * HOLDERS, slot * HOLDERS + HOLDERS, 0);
		}
		this.usedTicks[slot] = ++this.tick;
		int free = slot * HOLDERS + HOLDERS - 1;
		for (int i = slot * HOLDERS + HOLDERS - 1; i >= slot * HOLDERS; i--) {
			if (this.holders[i] >>> 16 == engine + 1) {
				this.holders[i] = holder(engine, generation);
				return;
			}
			if (this.holders[i] == 0) {
				free = i;
			}
		}
		this.holders[free] = holder(engine, generation);
	}

	void evict(long block, int engine) {
		int slot = find(block);
		for (int i = slot * HOLDERS; slot >= 0 && i < slot * HOLDERS + HOLDERS; i++) {
			if (this.holders[i] >>> 16 == engine + 1) {
				this.holders[i] = 0;
			}
		}
	}

	/**
	 * Counts for one block the engines whose run of leading blocks goes on, and extends
	 * their runs.
	 * @param block the block
	 * @param position position of the block in the prompt, from 0
	 * @param runs leading blocks found so far, by engine index
	 * @param engines the engines by index
	 * @return whether any run goes on
	 */
	boolean extend(long block, int position, int[] runs, Engine[] engines) {
		int slot = find(block);
		boolean found = false;
		if (slot >= 0) {
			this.usedTicks[slot] = ++this.tick;
			for (int i = slot * HOLDERS; i < slot * HOLDERS + HOLDERS; i++) {
				int engine = (this.holders[i] >>> 16) - 1;
				if (engine >= 0 && engine < engines.length && engines[engine] != null
						&& (engines[engine].cacheGeneration & 0xFFFF) == (this.holders[i] & 0xFFFF)
						&& runs[engine] == position) {
					runs[engine] = position + 1;
					found = true;
				}
			}
		}
		return found;
	}

}
