package dev.nutmegdoor.node.ledger;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.conversation.StoredTurn;
import dev.nutmegdoor.core.conversation.TurnKey;

/**
 * A turn as the content of a record. What follows the last field is ignored, so that
 * later versions may add fields at the end.
 *
 * @param expiresMs wall-clock time in milliseconds until which the turn is kept
 * @param turn the turn; the decoding for the index leaves its content empty
 * @param contentBytes length of the input and the output
 */
record TurnRecord(long expiresMs, StoredTurn turn, long contentBytes) {

	private static final int FORMAT = 1;

	static byte[] encode(StoredTurn turn, long expiresMs) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream(256 + turn.input().length + turn.output().length);
		DataOutputStream output = new DataOutputStream(bytes);
		String previousId = turn.previousId();
		output.writeByte(FORMAT);
		output.writeLong(expiresMs);
		output.writeLong(turn.retentionMs());
		output.writeUTF(turn.key().workspace());
		output.writeUTF(turn.key().id());
		output.writeBoolean(previousId != null);
		output.writeUTF((previousId != null) ? previousId : "");
		output.writeUTF(turn.group());
		output.writeInt(turn.input().length);
		output.writeInt(turn.output().length);
		output.write(turn.input());
		output.write(turn.output());
		return bytes.toByteArray();
	}

	/**
	 * Decodes a record.
	 * @param content content of the record
	 * @param isContentWanted whether the input and the output are copied
	 * @return the record, or {@code null} if it has a format of a later version
	 * @throws IOException if the content is malformed
	 */
	static @Nullable TurnRecord decode(byte[] content, boolean isContentWanted) throws IOException {
		DataInputStream input = new DataInputStream(new ByteArrayInputStream(content));
		if (input.readByte() != FORMAT) {
			return null;
		}
		long expiresMs = input.readLong();
		long retentionMs = input.readLong();
		TurnKey key = new TurnKey(input.readUTF(), input.readUTF());
		boolean hasPrevious = input.readBoolean();
		String previousId = input.readUTF();
		String group = input.readUTF();
		int inputBytes = input.readInt();
		int outputBytes = input.readInt();
		byte[] turnInput = new byte[isContentWanted ? inputBytes : 0];
		byte[] turnOutput = new byte[isContentWanted ? outputBytes : 0];
		input.readFully(turnInput);
		input.readFully(turnOutput);
		return new TurnRecord(expiresMs,
				new StoredTurn(key, hasPrevious ? previousId : null, group, turnInput, turnOutput, retentionMs),
				(long) inputBytes + outputBytes);
	}

}
