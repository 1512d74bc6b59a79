package org.brasspier.bench.capacity;

import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.sun.management.ThreadMXBean;
import org.jspecify.annotations.Nullable;

/**
 * Reads processor time and memory of this process for one piece of work. Not thread-safe.
 */
final class ResourceProbe {

	private static final int RUNS = 7;

	private static final int WARM_UP_MILLIS = 150;

	private static final int RUN_MILLIS = 40;

	private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

	/** Keeps results alive, so that the compiler can't drop the work. */
	private static volatile @Nullable Object sink;

	private ResourceProbe() {
	}

	/**
	 * The processor time that a piece of work takes, by this thread's own clock, so that
	 * other processes on the machine count little.
	 * @param work the work; its result is kept from being optimised away
	 * @return nanoseconds for each run of the work, the median of several
	 */
	static double medianCpuNanos(Supplier<?> work) {
		int count = countRunsWithin(work, WARM_UP_MILLIS) * RUN_MILLIS / WARM_UP_MILLIS + 1;
		double[] samples = new double[RUNS];
		for (int run = 0; run < RUNS; run++) {
			long begin = THREADS.getCurrentThreadCpuTime();
			for (int i = 0; i < count; i++) {
				sink = work.get();
			}
			samples[run] = (THREADS.getCurrentThreadCpuTime() - begin) / (double) count;
		}
		return median(samples);
	}

	/**
	 * The processor time of this thread so far, which leaves out what other processes on
	 * the machine take.
	 * @return nanoseconds
	 */
	static long cpuNanos() {
		return THREADS.getCurrentThreadCpuTime();
	}

	private static int countRunsWithin(Supplier<?> work, int millis) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		int runs = 0;
		while (System.nanoTime() - end < 0) {
			sink = work.get();
			runs++;
		}
		return runs;
	}

	/**
	 * The heap that a structure keeps, by what is in use after a collection before and
	 * after building it. All that is built stays until the end, so that nothing that a
	 * collection happens to find late is counted against it.
	 * @param structure builds the structure
	 * @return bytes kept, the median of several
	 */
	static double retainedBytes(Supplier<?> structure) {
		Object[] retained = new Object[RUNS];
		double[] samples = new double[RUNS];
		for (int run = 0; run < RUNS; run++) {
			long before = usedHeapBytes();
			retained[run] = structure.get();
			samples[run] = usedHeapBytes() - before;
		}
		sink = retained;
		return median(samples);
	}

	private static long usedHeapBytes() {
		System.gc();
		System.gc();
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

	private static double median(double[] samples) {
		double[] sorted = samples.clone();
		Arrays.sort(sorted);
		return sorted[sorted.length / 2];
	}

}
