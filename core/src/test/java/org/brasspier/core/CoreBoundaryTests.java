package org.brasspier.core;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;

/**
 * Checks that the core module performs no input or output and reads no clock: time and
 * randomness are passed in, so that every decision can be reproduced from its inputs.
 */
class CoreBoundaryTests {

	private final JavaClasses core = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
		.importPackages("org.brasspier.core");

	@Test
	void corePerformsNoInputOrOutput() {
		ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..", "java.io..", "io.activej..",
					"org.slf4j..", "java.util.concurrent.locks..")
			.check(this.core);
	}

	@Test
	void coreReadsNoClock() {
		ArchRuleDefinition.noClasses()
			.should()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.callMethod(System.class, "currentTimeMillis")
			.orShould()
			.callMethod(java.time.Instant.class, "now")
			.check(this.core);
	}

	@Test
	void coreStartsNoThreads() {
		ArchRuleDefinition.noClasses().should().dependOnClassesThat().areAssignableTo(Thread.class).check(this.core);
	}

}
