package io.balsamlane.router;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

/**
 * Guards against unintended changes to the help text.
 */
class RouterMainTests {

	@Test
	void helpNamesOptionsExitCodesAndAnExample() {
		Approvals.verify(RouterMain.USAGE);
	}

}
