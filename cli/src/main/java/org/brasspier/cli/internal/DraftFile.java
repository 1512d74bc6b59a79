package org.brasspier.cli.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

import org.brasspier.core.document.Draft;
import org.brasspier.core.document.FieldChange;
import org.brasspier.core.document.FieldPath;
import org.brasspier.wire.document.DocumentCodec;
import org.brasspier.wire.operator.OperatorJson;
import org.jspecify.annotations.Nullable;

/**
 * Stores the draft on the operator's machine together with its submission id. The id
 * makes a submission idempotent: a draft that is submitted again after a lost response
 * counts as the same submission. Not thread-safe.
 */
final class DraftFile {

	private final Path file;

	DraftFile(Path file) {
		this.file = file;
	}

	/**
	 * Returns the path of the draft file that is used if {@code --draft} is not given.
	 * @param environment environment variables
	 * @return path of the draft file
	 */
	static Path defaultPath(Map<String, String> environment) {
		String homeDirectory = environment.getOrDefault("HOME", ".");
		String stateDirectory = environment.getOrDefault("XDG_STATE_HOME", homeDirectory + "/.local/state");
		return Path.of(stateDirectory, "brasspier", "draft.json");
	}

	Optional<StoredDraft> read() {
		if (!Files.exists(this.file)) {
			return Optional.empty();
		}
		try {
			DraftJson json = OperatorJson.read(Files.readString(this.file), DraftJson.class)
				.getOrElseThrow((failure) -> new IllegalArgumentException(
						"draft %s: %s (see TROUBLESHOOTING.md#draft-file)".formatted(this.file, failure.detail())));
			return Optional.of(json.toStoredDraft());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Stores a changed draft under a new submission id.
	 * @param draft the draft
	 * @return the stored draft
	 */
	StoredDraft write(Draft draft) {
		StoredDraft storedDraft = new StoredDraft(draft, UUID.randomUUID().toString());
		try {
			Path directory = this.file.toAbsolutePath().getParent();
			if (directory != null) {
				Files.createDirectories(directory);
			}
			// Written to a temporary file and renamed, so that the draft file is never
			// partly written.
			Path temporary = this.file.resolveSibling(this.file.getFileName() + ".new");
			Files.writeString(temporary, OperatorJson.pretty(DraftJson.of(storedDraft)), StandardCharsets.UTF_8);
			Files.move(temporary, this.file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
			return storedDraft;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	boolean delete() {
		try {
			return Files.deleteIfExists(this.file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Stored draft with its submission id.
	 *
	 * @param draft the draft
	 * @param submission submission id, the same for every retry
	 */
	record StoredDraft(Draft draft, String submission) {

	}

	/**
	 * JSON content of the draft file. Fields that may be missing in a damaged file are
	 * nullable.
	 */
	private record DraftJson(long baseVersion, @Nullable String submission, @Nullable Map<String, String> base,
			@Nullable List<ChangeJson> changes) {

		static DraftJson of(StoredDraft storedDraft) {
			return new DraftJson(storedDraft.draft().baseVersion(), storedDraft.submission(),
					DocumentCodec.fields(storedDraft.draft().base()),
					storedDraft.draft()
						.changes()
						.stream()
						.map((change) -> new ChangeJson(change.path().text(), change.value().orElse(null)))
						.toList());
		}

		StoredDraft toStoredDraft() {
			if (this.submission == null || this.base == null || this.changes == null) {
				throw new IllegalArgumentException(
						"a required field is missing in the draft file (see TROUBLESHOOTING.md#draft-file)");
			}
			return new StoredDraft(new Draft(this.baseVersion, DocumentCodec.document(this.base),
					this.changes.stream().map(ChangeJson::toFieldChange).toList()), this.submission);
		}

	}

	/**
	 * JSON form of one change in the draft file.
	 */
	private record ChangeJson(String path, @Nullable String value) {

		FieldChange toFieldChange() {
			return new FieldChange(new FieldPath(this.path), Optional.ofNullable(this.value));
		}

	}

}
