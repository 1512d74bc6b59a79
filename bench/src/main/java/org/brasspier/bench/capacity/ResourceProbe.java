package org.brasspier.bench.capacity;

import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.sun.management.ThreadMXBean;
import org.jspecify.annotations.Nullable;

/**
 * Measures the processor time and the heap memory that an operation takes in this
 * process. Not thread-safe.
 */
final class ResourceProbe {

	private static final int RUNS = 7;

	private static final int WARM_UP_MILLIS = 150;

	private static final int RUN_MILLIS = 40;

	private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

	/** Holds the results, so that the compiler can't eliminate the measured work. */
	private static volatile @Nullable Object sink;

	private ResourceProbe() {
	}

	/**
	 * Measures the processor time of an operation by the CPU clock of the current thread,
	 * so that other processes on the machine have little influence.
	 * @param work the operation; its result is protected from dead-code elimination
	 * @return nanoseconds per execution, the median of several samples
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
	 * Returns the processor time that the current thread has used so far. The time that
	 * other processes on the machine use is not included.
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
	 * Measures the heap memory that a structure retains, as the difference of the heap in
	 * use after a garbage collection before and after the structure is built. All built
	 * structures are held until the end, so that a late collection of an earlier one does
	 * not distort a sample.
	 * @param structure builds the structure
	 * @return retained bytes, the median of several samples
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
