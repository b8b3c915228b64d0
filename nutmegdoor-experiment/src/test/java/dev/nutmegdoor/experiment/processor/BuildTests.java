package dev.nutmegdoor.experiment.processor;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class BuildTests {

	@TempDir
	private Path folder;

	// Guards against measuring another command than the one that is deployed.
	@Test
	void takesCommandOfRoleFromDeployFile() throws IOException {
		Files.createDirectory(this.folder.resolve("deploy"));
		Files.write(this.folder.resolve("deploy/system.toml"), List.of("[roles.gateway]", "run = \"java -Xmx1m -cp g\"",
				"[roles.ledger]", "run = \"java -Xmx2m -cp l Main\""));
		Build build = new Build("this", this.folder, List.of("-Xlog:gc"));
		assertThat(build.command("ledger"), is(List.of("java", "-Xmx2m", "-Xlog:gc", "-cp", "l", "Main")));
	}

}
