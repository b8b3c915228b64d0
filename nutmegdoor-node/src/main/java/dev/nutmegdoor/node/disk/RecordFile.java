package dev.nutmegdoor.node.disk;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32;

import org.jspecify.annotations.Nullable;

/**
 * File of records. A record is a length, a CRC-32 of its content, and the content. What
 * follows the first record that is torn or missing was never acknowledged and is cut off
 * when the file is opened. Records are written by one thread; any thread may read.
 */
public final class RecordFile implements AutoCloseable {

	/** Length in bytes of what precedes the content of a record. */
	public static final int HEADER_BYTES = 8;

	private static final int READ_BUFFER_BYTES = 65_536;

	private final FileChannel channel;

	/** Length of the file that is known to be on the disk. */
	private long forcedBytes;

	private long writtenBytes;

	private final boolean wasCut;

	/**
	 * Opens a file, reads its records and cuts off a torn tail.
	 * @param opener opens the file
	 * @param path the file, which is created if it is absent
	 * @param maxRecordBytes maximum length of the content of a record
	 * @param listener receives the records
	 * @throws IOException if the file can't be read or written
	 */
	public RecordFile(ChannelOpener opener, Path path, int maxRecordBytes, RecordListener listener) throws IOException {
		this.channel = opener.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
		long sizeBytes = this.channel.size();
		long validBytes = (sizeBytes > 0) ? recover(sizeBytes, maxRecordBytes, listener) : 0;
		this.wasCut = validBytes < sizeBytes;
		if (this.wasCut) {
			this.channel.truncate(validBytes);
		}
		this.channel.position(validBytes);
		this.channel.force(true);
		this.forcedBytes = validBytes;
		this.writtenBytes = validBytes;
	}

	/**
	 * Returns a record with its length and checksum.
	 * @param content content of the record
	 * @return the bytes to write
	 */
	public static byte[] encode(byte[] content) {
		return ByteBuffer.allocate(HEADER_BYTES + content.length)
			.putInt(content.length)
			.putInt(checksum(content))
			.put(content)
			.array();
	}

	/**
	 * Returns whether the file ended with a torn record when it was opened.
	 * @return {@code true} if something was cut off
	 */
	public boolean wasCut() {
		return this.wasCut;
	}

	/**
	 * Returns the length of what was written, whether or not it has been forced.
	 * @return size in bytes
	 */
	public long sizeBytes() {
		return this.writtenBytes;
	}

	/**
	 * Writes encoded records at the end of the file.
	 * @param records one or more records as {@link #encode} returns them
	 * @return position of the first record in the file
	 * @throws IOException if the disk is full or fails; then {@link #rollBack()} has to
	 * be called
	 */
	public long append(byte[] records) throws IOException {
		long offset = this.writtenBytes;
		ByteBuffer buffer = ByteBuffer.wrap(records);
		while (buffer.hasRemaining()) {
			this.channel.write(buffer);
		}
		this.writtenBytes = offset + records.length;
		return offset;
	}

	/**
	 * Forces what was written to the disk.
	 * @throws IOException if the disk fails; then {@link #rollBack()} has to be called
	 */
	public void force() throws IOException {
		if (this.forcedBytes < this.writtenBytes) {
			this.channel.force(false);
			this.forcedBytes = this.writtenBytes;
		}
	}

	/**
	 * Cuts off what was written since the last time that it was forced. A torn record in
	 * the middle of the file would end the recovery before later records.
	 * @throws IOException if the file can't be cut, so that nothing may be appended
	 */
	public void rollBack() throws IOException {
		this.channel.truncate(this.forcedBytes);
		this.channel.position(this.forcedBytes);
		this.writtenBytes = this.forcedBytes;
	}

	/**
	 * Reads a record.
	 * @param offset position of the record
	 * @param contentBytes length of its content
	 * @return the content, or {@code null} if it is damaged
	 * @throws IOException if the file can't be read
	 */
	public byte @Nullable [] read(long offset, int contentBytes) throws IOException {
		ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + contentBytes);
		while (buffer.hasRemaining()) {
			if (this.channel.read(buffer, offset + buffer.position()) < 0) {
				return null;
			}
		}
		buffer.flip();
		int length = buffer.getInt();
		int checksum = buffer.getInt();
		byte[] content = new byte[contentBytes];
		buffer.get(content);
		return (length == contentBytes && checksum(content) == checksum) ? content : null;
	}

	@Override
	public void close() throws IOException {
		this.channel.close();
	}

	// Reads through a buffer, because the file may be larger than the heap.
	private long recover(long sizeBytes, int maxRecordBytes, RecordListener listener) throws IOException {
		long offset = 0;
		this.channel.position(0);
		DataInputStream input = new DataInputStream(
				new BufferedInputStream(Channels.newInputStream(this.channel), READ_BUFFER_BYTES));
		while (sizeBytes - offset >= HEADER_BYTES) {
			byte[] content;
			try {
				int length = input.readInt();
				int checksum = input.readInt();
				if (length <= 0 || length > maxRecordBytes || length > sizeBytes - offset - HEADER_BYTES) {
					return offset;
				}
				content = new byte[length];
				input.readFully(content);
				if (checksum(content) != checksum) {
					return offset;
				}
			}
			catch (EOFException ex) {
				return offset;
			}
			// A whole record that can't be decoded is no torn tail: cutting it would drop
			// what was acknowledged after it.
			listener.found(offset, content);
			offset += HEADER_BYTES + content.length;
		}
		return offset;
	}

	private static int checksum(byte[] content) {
		CRC32 crc = new CRC32();
		crc.update(content);
		return (int) crc.getValue();
	}

}
