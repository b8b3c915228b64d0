package dev.nutmegdoor.experiment.faults;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import dev.nutmegdoor.core.fault.Step;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class FaultMatrixTests {

	// Guards against a protocol step that no fault is ever caused at. No controller sends
	// orders to engines yet; the scenario has to come with it.
	@Test
	void hasAScenarioForEachStep() {
		assertThat(FaultMatrix.missing(), is(List.of(Step.ENGINE_ORDER)));
	}

	// Guards against a home that loses or repeats calls when it dies at a step.
	@ParameterizedTest
	@EnumSource(names = { "APPEND_DONE", "DISPATCH", "SETTLE", "TAKEOVER_READ", "HAND_OVER" })
	void survivesACrashAtTheSteps(Step step) {
		CellResult result = new FaultMatrix(1).run(step, CellFault.CRASH_BEFORE);
		assertThat(result.violations(), is(List.of()));
		assertThat(result.isReached(), is(true));
	}

}
