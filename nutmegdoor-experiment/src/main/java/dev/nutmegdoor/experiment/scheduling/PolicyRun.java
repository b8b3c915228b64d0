package dev.nutmegdoor.experiment.scheduling;

import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.id.ProgramId;

/**
 * A policy at work in one run.
 */
interface PolicyRun {

	CallRunner runnerOf(ProgramId root);

	void programEnded(ProgramId root, ProgramId program);

	// Control messages sent so far between instances and to engines.
	long controlMessages();

}
