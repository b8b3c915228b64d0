package dev.nutmegdoor.experiment.capacity;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

class LinearFitTests {

	// Guards against an extrapolation that ignores fixed costs.
	@Test
	void findsSlopeInterceptAndLargestError() {
		LinearFit fit = LinearFit
			.of(List.of(new CapacityPoint(0, 10), new CapacityPoint(10, 31), new CapacityPoint(20, 49)));
		assertThat(fit.slope(), closeTo(1.95, 1e-9));
		assertThat(fit.at(100), closeTo(205.5, 1e-6));
		assertThat(fit.largestError(), closeTo(1, 1e-9));
	}

	// Guards against a division by zero that prints as a figure.
	@Test
	void refusesPointsOfOneSize() {
		assertThrows(IllegalArgumentException.class,
				() -> LinearFit.of(List.of(new CapacityPoint(5, 1), new CapacityPoint(5, 2))));
	}

}
