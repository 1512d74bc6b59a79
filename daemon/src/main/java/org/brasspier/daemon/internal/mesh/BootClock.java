package org.brasspier.daemon.internal.mesh;

import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import java.util.concurrent.TimeUnit;

/**
 * A clock that also runs while the machine is suspended, which the virtual machine's own
 * steady clock does not: a lease counted by that one would seem to go on after a machine
 * woke, though others have long taken its keys. Thread-safe.
 */
final class BootClock {

	/** {@code CLOCK_BOOTTIME} of Linux. */
	private static final int CLOCK_BOOTTIME = 7;

	private final MethodHandle getTime;

	private final MemorySegment time = Arena.ofAuto().allocate(ValueLayout.JAVA_LONG, 2);

	BootClock() {
		Linker linker = Linker.nativeLinker();
		FunctionDescriptor signature = FunctionDescriptor.of(ValueLayout.JAVA_INT, ValueLayout.JAVA_INT,
				ValueLayout.ADDRESS);
		this.getTime = linker.downcallHandle(linker.defaultLookup().find("clock_gettime").orElseThrow(), signature);
		nanos();
	}

	synchronized long nanos() {
		try {
			int result = (int) this.getTime.invokeExact(CLOCK_BOOTTIME, this.time);
			if (result != 0) {
				throw new IllegalStateException("the clock that runs through a suspension can't be read");
			}
		}
		catch (RuntimeException | Error ex) {
			throw ex;
		}
		catch (Throwable ex) {
			throw new IllegalStateException("the clock that runs through a suspension can't be read", ex);
		}
		return TimeUnit.SECONDS.toNanos(this.time.getAtIndex(ValueLayout.JAVA_LONG, 0))
				+ this.time.getAtIndex(ValueLayout.JAVA_LONG, 1);
	}

}
