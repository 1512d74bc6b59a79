package org.brasspier.core.document;

import java.util.Optional;

import org.brasspier.core.ErrorKind;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Changes made with several forms are collected in one draft, which is based on a
 * version.
 */
class DraftTests {

	private final Document inForce = Document.EMPTY.with(change("service/hullbook/divided-by-key", "yes"))
		.with(change("weights/churn", "2"));

	private final Draft draft = Draft.from(7, this.inForce);

	@Test
	void anInvalidFieldIsRejectedWhenItIsSet() {
		assertThat(this.draft.fill(Form.WEIGHTS, "", "churn", Optional.of("-1")).getLeft().kind())
			.isEqualTo(ErrorKind.BAD_REQUEST);
		assertThat(this.draft.fill(Form.WEIGHTS, "", "colour", Optional.of("1")).isLeft()).isTrue();
		assertThat(this.draft.fill(Form.SERVICE, "a/b", "divided-by-key", Optional.of("yes")).isLeft()).isTrue();
	}

	@Test
	void theDocumentOfADraftContainsAllItsChanges() {
		Draft changed = fill(fill(this.draft, Form.WEIGHTS, "", "churn", "3"), Form.LIMITS, "hullbook",
				"max-body-bytes", "2000");
		assertThat(DocumentDiff.between(this.inForce, changed.document()).differences().toString())
			.isEqualTo("[limits/hullbook/max-body-bytes: (none) -> 2000, weights/churn: 2 -> 3]");
	}

	@Test
	void settingAFieldToItsBaseValueIsNoChange() {
		Draft changed = fill(this.draft, Form.WEIGHTS, "", "churn", "3");
		assertThat(fill(changed, Form.WEIGHTS, "", "churn", "2").changes()).isEmpty();
	}

	@Test
	void aRebasedDraftKeepsItsChangesAndListsConflictingPaths() {
		Draft changed = fill(fill(this.draft, Form.WEIGHTS, "", "churn", "3"), Form.WEIGHTS, "", "imbalance", "5");
		Document newer = this.inForce.with(change("weights/churn", "4")).with(change("weights/unavailable", "9"));
		Draft.Rebased rebased = changed.rebase(8, newer);
		assertThat(rebased.draft().baseVersion()).isEqualTo(8);
		assertThat(rebased.overlaps().toString()).isEqualTo("[weights/churn: 4 -> 3]");
		assertThat(rebased.draft().document().weights().unavailable()).isEqualTo(9);
		assertThat(rebased.draft().document().weights().imbalance()).isEqualTo(5);
	}

	private static Draft fill(Draft draft, Form form, String subject, String field, String value) {
		return draft.fill(form, subject, field, Optional.of(value)).get();
	}

	private static FieldChange change(String path, String value) {
		return new FieldChange(new FieldPath(path), Optional.of(value));
	}

}
