package dev.nutmegdoor.standin.relay;

import java.util.List;

/**
 * An answer that a replica gives to one send.
 *
 * @param status HTTP status
 * @param fields header fields that only this answer has, each with its line end
 * @param seal seal of the run, or {@code null} if the request does not run
 * @param parts parts of the body, events if it is a stream
 * @param isStream whether the parts are written one after the other
 * @param breakAfter number of parts after which the stream is broken off, -1 if it is
 * complete
 * @param workMs time until the answer begins in milliseconds
 */
record ReplicaAnswer(int status, String fields, String seal, List<String> parts, boolean isStream, int breakAfter,
		long workMs) {

	String body() {
		return String.join("", this.parts);
	}

	String chunks() {
		StringBuilder text = new StringBuilder();
		for (String part : this.parts) {
			text.append(Integer.toHexString(part.length())).append("\r\n").append(part).append("\r\n");
		}
		return text.toString();
	}

	/**
	 * Returns the head of the answer.
	 * @param attempt identifier of the request, or {@code null} if it has none
	 * @param isChunked whether the body is sent in chunks
	 * @return the head with the empty line
	 */
	String head(String attempt, boolean isChunked) {
		return "HTTP/1.1 " + this.status + " " + reason() + "\r\nContent-Type: "
				+ (this.isStream ? "text/event-stream" : "text/plain") + "\r\n"
				+ ((attempt != null) ? "Attempt-Id: " + attempt + "\r\n" : "")
				+ ((this.seal != null) ? "Server-Seal: " + this.seal + "\r\n" : "") + this.fields
				+ (isChunked ? "Transfer-Encoding: chunked" : "Content-Length: " + body().length()) + "\r\n\r\n";
	}

	private String reason() {
		return (this.status == 200) ? "OK" : "Not OK";
	}

}
