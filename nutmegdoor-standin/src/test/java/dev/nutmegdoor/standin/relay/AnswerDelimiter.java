package dev.nutmegdoor.standin.relay;

/**
 * How a replica states where the body of its answer ends.
 */
enum AnswerDelimiter {

	LENGTH {

		@Override
		String fields(String body) {
			return "Content-Length: " + body.length() + "\r\n";
		}

		@Override
		String encode(String body) {
			return body;
		}

	},

	CHUNKS {

		@Override
		String fields(String body) {
			return "Transfer-Encoding: chunked\r\n";
		}

		@Override
		String encode(String body) {
			int half = body.length() / 2;
			return chunk(body.substring(0, half)) + chunk(body.substring(half)) + "0\r\n\r\n";
		}

		private String chunk(String part) {
			return part.isEmpty() ? "" : Integer.toHexString(part.length()) + "\r\n" + part + "\r\n";
		}

	},

	/** The end of the connection ends the body. */
	CONNECTION {

		@Override
		String fields(String body) {
			return "";
		}

		@Override
		String encode(String body) {
			return body;
		}

	};

	abstract String fields(String body);

	abstract String encode(String body);

}
