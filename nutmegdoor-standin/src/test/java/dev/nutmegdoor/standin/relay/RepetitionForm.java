package dev.nutmegdoor.standin.relay;

/**
 * How much of an answer a faulty replica writes once more.
 */
enum RepetitionForm {

	WHOLE {
		@Override
		String of(String head, String body) {
			return head + body;
		}
	},

	WITHOUT_ID {
		@Override
		String of(String head, String body) {
			return head.replaceFirst("Attempt-Id: [^\r]*\r\n", "") + body;
		}
	},

	/** Written in two parts with a pause in between. */
	SPLIT {
		@Override
		String of(String head, String body) {
			return head + body;
		}
	},

	CUT_IN_STATUS_LINE {
		@Override
		String of(String head, String body) {
			return head.substring(0, head.indexOf("\r\n") - 1);
		}
	},

	CUT_IN_VALUE {
		@Override
		String of(String head, String body) {
			return head.substring(0, head.indexOf(": ", head.indexOf("\r\n")) + 4);
		}
	},

	CUT_AFTER_FIELD {
		@Override
		String of(String head, String body) {
			return head.substring(0, head.indexOf("\r\n", head.indexOf("\r\n") + 2) + 2);
		}
	},

	CUT_IN_BODY {
		@Override
		String of(String head, String body) {
			return head + body.substring(0, body.length() / 2);
		}
	};

	/**
	 * Returns the bytes to write.
	 * @param head head of the answer, with the empty line
	 * @param body body as it was sent, with the lines of its chunks
	 * @return the repetition
	 */
	abstract String of(String head, String body);

}
