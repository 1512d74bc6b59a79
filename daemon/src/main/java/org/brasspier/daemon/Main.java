package org.brasspier.daemon;

import java.util.concurrent.CountDownLatch;

import io.vavr.control.Either;
import org.brasspier.core.Failure;
import org.brasspier.daemon.internal.Daemon;
import org.brasspier.daemon.internal.settings.Settings;
import org.brasspier.daemon.internal.settings.SettingsReader;

/**
 * The program {@code brasspierd}.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Runs a daemon until the process is told to end. On SIGTERM it leaves first: what it
	 * owns is handed over and nothing in flight is cut off.
	 * @param arguments the flags
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
