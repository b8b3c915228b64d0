package dev.nutmegdoor.standin.relay;

/**
 * An answer of a replica, byte by byte, and where the replica breaks it off.
 *
 * @param seal identifies the answer
 * @param status its status
 * @param text its bytes
 * @param headLength number of bytes of its head
 * @param body its body
 * @param delimiter how its end is stated
 * @param isDeclined whether its head states that the request did not run
 * @param cutAt number of bytes that the replica sends
 * @param isReset whether the replica resets the connection after them
 * @param isHeld whether the replica then waits until the connection is closed
 */
record ScriptedReply(String seal, int status, String text, int headLength, String body, AnswerDelimiter delimiter,
		boolean isDeclined, int cutAt, boolean isReset, boolean isHeld) {

	static ScriptedReply of(String attempt, String seal, int status, String fields, AnswerDelimiter delimiter,
			String body) {
		String head = "HTTP/1.1 " + "%03d".formatted(status) + " Status\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: "
				+ seal + "\r\n" + fields + delimiter.fields(body) + "\r\n";
		String text = head + delimiter.encode(body);
		return new ScriptedReply(seal, status, text, head.length(), body, delimiter,
				status == 421 || fields.contains("Not-Executed"), text.length(), false, false);
	}

	ScriptedReply withoutBody() {
		return new ScriptedReply(this.seal, this.status, this.text.substring(0, this.headLength), this.headLength, "",
				AnswerDelimiter.LENGTH, this.isDeclined, this.headLength, this.isReset, false);
	}

	ScriptedReply cut(int bytes, boolean isResetThen) {
		return new ScriptedReply(this.seal, this.status, this.text, this.headLength, this.body, this.delimiter,
				this.isDeclined, bytes, isResetThen, false);
	}

	ScriptedReply held(int bytes) {
		return new ScriptedReply(this.seal, this.status, this.text, this.headLength, this.body, this.delimiter,
				this.isDeclined, bytes, false, true);
	}

	boolean isSuccess() {
		return this.status / 100 == 2;
	}

	/** Returns whether HTTP defines the class of the status. */
	boolean hasDefinedStatus() {
		return this.status >= 100 && this.status <= 599;
	}

	boolean isCut() {
		return this.cutAt < this.text.length() || this.isHeld
				|| (this.isReset && this.delimiter == AnswerDelimiter.CONNECTION);
	}

	/** Returns whether a gateway can know that the request did not run. */
	boolean isKnownNotRun() {
		return this.isDeclined && hasDefinedStatus() && this.cutAt >= this.headLength;
	}

	/**
	 * Returns whether an answer to the client may look complete with a body. The orderly
	 * end of the connection ends an answer without length and chunks, except inside an
	 * event or before the first one of a stream that begins.
	 */
	boolean mayLookComplete(String received, boolean isStream, boolean isResumed) {
		if (!isCut()) {
			return received.equals(this.body);
		}
		if (this.delimiter != AnswerDelimiter.CONNECTION || this.isReset || this.isHeld
				|| this.cutAt < this.headLength) {
			return false;
		}
		String sent = this.text.substring(this.headLength, this.cutAt);
		if (isStream && isSuccess() && !sent.endsWith("\n\n") && !(sent.isEmpty() && isResumed)) {
			return false;
		}
		return received.equals(sent);
	}

}
