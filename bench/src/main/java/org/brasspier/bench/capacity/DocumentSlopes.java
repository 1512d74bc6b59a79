package org.brasspier.bench.capacity;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.brasspier.core.document.Document;
import org.brasspier.core.document.DocumentValidator;
import org.brasspier.core.document.FieldPath;
import org.brasspier.wire.document.DocumentCodec;
import org.brasspier.wire.document.StoredDocument;

/**
 * Measures the memory and time that a daemon spends on the configuration document, by the
 * number of services in it.
 */
final class DocumentSlopes implements SlopeSuite {

	private static final int[] SERVICES = { 3, 30, 100, 300 };

	private static final int NANOS_PER_MICRO = 1000;

	@Override
	public List<Slope> measure() {
		return List.of(
				SlopeSuite.measureSlope("configuration document, size", "services", "bytes", SERVICES,
						(services) -> encode(services).length),
				SlopeSuite.measureSlope("configuration document, reading and checking", "services", "us", SERVICES,
						(services) -> {
							byte[] body = encode(services);
							return ResourceProbe.medianCpuNanos(() -> DocumentValidator.validate(decode(body)))
									/ NANOS_PER_MICRO;
						}),
				SlopeSuite.measureSlope("configuration document, memory", "services", "bytes", SERVICES, (services) -> {
					byte[] body = encode(services);
					return ResourceProbe.retainedBytes(() -> decode(body));
				}));
	}

	private static Document decode(byte[] body) {
		return DocumentCodec.decode(body)
			.getOrElseThrow((failure) -> new IllegalStateException(failure.detail()))
			.document();
	}

	private static byte[] encode(int services) {
		return DocumentCodec.encode(new StoredDocument(1, "", "bench", 0, document(services)));
	}

	private static Document document(int services) {
		Map<FieldPath, String> values = new TreeMap<>();
		values.put(new FieldPath("domains/regions"), "duluth=great-lakes,milwaukee=great-lakes");
		IntStream.range(0, services).mapToObj((i) -> "service-%03d".formatted(i)).forEach((service) -> {
			values.put(new FieldPath("service/%s/divided-by-key".formatted(service)), "yes");
			values.put(new FieldPath("service/%s/run-limit-millis".formatted(service)), "2000");
			values.put(new FieldPath("limits/%s/lookup-deadline-millis".formatted(service)), "1000");
			values.put(new FieldPath("limits/%s/lookup-share-percent".formatted(service)), "60");
			values.put(new FieldPath("limits/%s/caller-shares".formatted(service)), "duluth-office=40,cleveland=30");
		});
		return Document.of(values);
	}

}
