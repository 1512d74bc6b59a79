package org.brasspier.core.document;

import java.util.Map;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Validation of a whole document before it can take effect.
 */
class DocumentValidatorTests {

	private final Map<FieldPath, String> values = new TreeMap<>(Map.of(new FieldPath("service/hullbook/divided-by-key"),
			"yes", new FieldPath("domains/regions"), "duluth=great-lakes,milwaukee=great-lakes"));

	@Test
	void aDocumentWithOneServiceAndItsFailureDomainsIsValid() {
		assertThat(DocumentValidator.validate(Document.of(this.values))).isEmpty();
	}

	@Test
	void theEmptyDocumentIsInvalid() {
		assertThat(DocumentValidator.validate(Document.EMPTY).stream().map(Fault::place)).containsExactly("service",
				"domains/regions");
	}

	@Test
	void allFaultsAreReportedTogetherWithPlaceValueAndRemedy() {
		put("service/hullbook/run-limit-millis", "0");
		put("weights/churn", "much");
		put("service/hullbook/colour", "red");
		assertThat(DocumentValidator.validate(Document.of(this.values)))
			.containsExactly(new Fault("service/hullbook/colour", "red", "no form has this field: take it out"),
					new Fault("service/hullbook/run-limit-millis", "0", "enter a whole number from 1 to 600000"),
					new Fault("weights/churn", "much", "enter a number from 0.0 to 1000.0"))
			.inOrder();
	}

	@Test
	void rulesOverSeveralFieldsAreAllChecked() {
		put("limits/divecal/max-body-bytes", "1000");
		put("limits/hullbook/lookup-share-percent", "90");
		put("weights/churn", "0");
		put("weights/imbalance", "0");
		put("weights/unavailable", "0");
		put("secrets/operators-retiring", "spring");
		assertThat(DocumentValidator.validate(Document.of(this.values)).stream().map(Fault::place)).containsExactly(
				"limits/divecal/max-body-bytes", "limits/hullbook", "weights", "secrets/operators-current");
	}

	@Test
	void aListThatContainsANameTwiceIsInvalid() {
		put("limits/hullbook/caller-shares", "duluth-office=40,duluth-office=50");
		assertThat(DocumentValidator.validate(Document.of(this.values))).hasSize(1);
	}

	private void put(String path, String value) {
		this.values.put(new FieldPath(path), value);
	}

}
