package org.brasspier.daemon;

import java.util.concurrent.CountDownLatch;

import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.daemon.internal.Daemon;
import org.brasspier.daemon.internal.settings.Settings;
import org.brasspier.daemon.internal.settings.SettingsReader;

/**
 * Entry point of the program {@code brasspierd}.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Runs a daemon until the process is terminated. On SIGTERM the daemon first hands
	 * over the ranges that it owns and completes the requests in flight, for as long as
	 * the settings allow.
	 * @param arguments the command-line flags
	 * @throws Exception if the daemon can't start
	 */
	public static void main(String[] arguments) throws Exception {
		SettingsReader reader = new SettingsReader(System.getenv());
		Either<Failure, Settings> settings = reader.read(arguments);
		if (reader.isHelpRequested()) {
			System.out.print(reader.usage());
			return;
		}
		if (settings.isLeft()) {
			System.err.println(settings.getLeft().detail());
			System.exit(settings.getLeft().kind().exitCode());
		}
		System.setProperty("brasspier.log", reader.logFormat());
		System.setProperty("brasspier.instance", settings.get().instance().value());
		Daemon daemon = new Daemon(settings.get());
		daemon.start();
		Runtime.getRuntime().addShutdownHook(new Thread(daemon::leave, "leave"));
		new CountDownLatch(1).await();
	}

}
