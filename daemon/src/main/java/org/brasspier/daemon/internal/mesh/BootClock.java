package org.brasspier.daemon.internal.mesh;

import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import java.util.concurrent.TimeUnit;

/**
 * A monotonic clock that also advances while the machine is suspended, unlike
 * {@link System#nanoTime()}. Measured by the latter, a lease would appear valid after the
 * machine resumes, although other instances took over its keys long ago. Thread-safe.
 */
final class BootClock {

	/** {@code CLOCK_BOOTTIME} of Linux. */
	private static final int CLOCK_BOOTTIME = 7;

	private final MethodHandle getTime;

	private final MemorySegment timespec = Arena.ofAuto().allocate(ValueLayout.JAVA_LONG, 2);

	BootClock() {
		Linker linker = Linker.nativeLinker();
		FunctionDescriptor signature = FunctionDescriptor.of(ValueLayout.JAVA_INT, ValueLayout.JAVA_INT,
				ValueLayout.ADDRESS);
		this.getTime = linker.downcallHandle(linker.defaultLookup().find("clock_gettime").orElseThrow(), signature);
		nanos();
	}

	synchronized long nanos() {
		try {
			int result = (int) this.getTime.invokeExact(CLOCK_BOOTTIME, this.timespec);
			if (result != 0) {
				throw new IllegalStateException("CLOCK_BOOTTIME can't be read");
			}
		}
		catch (RuntimeException | Error ex) {
			throw ex;
		}
		catch (Throwable ex) {
			throw new IllegalStateException("CLOCK_BOOTTIME can't be read", ex);
		}
		return TimeUnit.SECONDS.toNanos(this.timespec.getAtIndex(ValueLayout.JAVA_LONG, 0))
				+ this.timespec.getAtIndex(ValueLayout.JAVA_LONG, 1);
	}

}
