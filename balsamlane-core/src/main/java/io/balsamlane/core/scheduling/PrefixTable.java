package io.balsamlane.core.scheduling;

import java.util.Arrays;

/**
 * Fixed-size, set-associative table of the prompt blocks cached by each prefill engine. A
 * new block replaces the least recently used block of its set.
 */
final class PrefixTable {

	private static final int WAYS = 8;

	private static final int ENGINES_PER_BLOCK = 4;

	private final long[] blocks;

	private final int[] usedTicks;

	/**
	 * Engine index plus one in the upper 16 bits, cache generation in the lower 16 bits.
	 */
	private final int[] holders;

	private final int setMask;

	private int tick;

	PrefixTable(int slots) {
		this.blocks = new long[Math.max(WAYS, slots)];
		this.usedTicks = new int[this.blocks.length];
		this.holders = new int[this.blocks.length * ENGINES_PER_BLOCK];
		this.setMask = this.blocks.length / WAYS - 1;
	}

	private int find(long block) {
		int first = firstSlot(block);
		for (int slot = first; slot < first + WAYS; slot++) {
			if (this.blocks[slot] == block && this.usedTicks[slot] != 0) {
				return slot;
			}
		}
		return -1;
	}

	private int firstSlot(long block) {
		long mixed = block * 0x9E3779B97F4A7C15L;
		return (int) ((mixed >>> 32) & this.setMask) * WAYS;
	}

	private static int holder(int engine, int generation) {
		return ((engine + 1) << 16) | (generation & 0xFFFF);
	}

	void store(long block, int engine, int generation) {
		int slot = find(block);
		if (slot < 0) {
			slot = firstSlot(block);
			for (int other = slot + 1; other < firstSlot(block) + WAYS; other++) {
				if (this.usedTicks[other] < this.usedTicks[slot]) {
					slot = other;
				}
			}
			this.blocks[slot] = block;
			Arrays.fill(this.holders, slot * ENGINES_PER_BLOCK, slot * ENGINES_PER_BLOCK + ENGINES_PER_BLOCK, 0);
		}
		this.usedTicks[slot] = ++this.tick;
		int free = slot * ENGINES_PER_BLOCK + ENGINES_PER_BLOCK - 1;
		for (int i = slot * ENGINES_PER_BLOCK + ENGINES_PER_BLOCK - 1; i >= slot * ENGINES_PER_BLOCK; i--) {
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
		for (int i = slot * ENGINES_PER_BLOCK; slot >= 0 && i < slot * ENGINES_PER_BLOCK + ENGINES_PER_BLOCK; i++) {
			if (this.holders[i] >>> 16 == engine + 1) {
				this.holders[i] = 0;
			}
		}
	}

	/**
	 * Extend the cached prefix of each engine that holds the given block and all blocks
	 * before it.
	 * @param block hash of the prefix that ends with the block
	 * @param position position of the block in the prompt, from 0
	 * @param cachedBlocks number of leading blocks cached by each engine, by engine index
	 * @param engines the engines by index
	 * @return whether the prefix of any engine was extended
	 */
	boolean extendPrefixes(long block, int position, int[] cachedBlocks, Engine[] engines) {
		int slot = find(block);
		boolean found = false;
		if (slot >= 0) {
			this.usedTicks[slot] = ++this.tick;
			for (int i = slot * ENGINES_PER_BLOCK; i < slot * ENGINES_PER_BLOCK + ENGINES_PER_BLOCK; i++) {
				int engine = (this.holders[i] >>> 16) - 1;
				if (engine >= 0 && engine < engines.length && engines[engine] != null
						&& (engines[engine].cacheGeneration & 0xFFFF) == (this.holders[i] & 0xFFFF)
						&& cachedBlocks[engine] == position) {
					cachedBlocks[engine] = position + 1;
					found = true;
				}
			}
		}
		return found;
	}

}
