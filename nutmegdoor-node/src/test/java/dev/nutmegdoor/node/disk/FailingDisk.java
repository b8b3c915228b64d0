package dev.nutmegdoor.node.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.file.OpenOption;
import java.nio.file.Path;

/**
 * Disk that writes half of the data and then fails while it is full, and that can refuse
 * to force or to truncate.
 */
public final class FailingDisk implements ChannelOpener {

	public volatile boolean isFull;

	public volatile boolean failsToForce;

	public volatile boolean failsToTruncate;

	/** Number of successful calls that forced data. */
	public volatile int forces;

	@Override
	public FileChannel open(Path path, OpenOption... options) throws IOException {
		return new FailingChannel(FileChannel.open(path, options));
	}

	private final class FailingChannel extends FileChannel {

		private final FileChannel delegate;

		private FailingChannel(FileChannel delegate) {
			this.delegate = delegate;
		}

		@Override
		public int write(ByteBuffer source) throws IOException {
			if (!FailingDisk.this.isFull) {
				return this.delegate.write(source);
			}
			ByteBuffer half = source.duplicate();
			half.limit(source.position() + source.remaining() / 2);
			this.delegate.write(half);
			throw new IOException("No space left on device");
		}

		@Override
		public void force(boolean metaData) throws IOException {
			if (FailingDisk.this.failsToForce) {
				throw new IOException("Input/output error");
			}
			this.delegate.force(metaData);
			FailingDisk.this.forces++;
		}

		@Override
		public FileChannel truncate(long size) throws IOException {
			if (FailingDisk.this.failsToTruncate) {
				throw new IOException("Input/output error");
			}
			this.delegate.truncate(size);
			return this;
		}

		@Override
		public int read(ByteBuffer target) throws IOException {
			return this.delegate.read(target);
		}

		@Override
		public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
			return this.delegate.read(targets, offset, length);
		}

		@Override
		public long write(ByteBuffer[] sources, int offset, int length) {
			throw new UnsupportedOperationException();
		}

		@Override
		public long position() throws IOException {
			return this.delegate.position();
		}

		@Override
		public FileChannel position(long position) throws IOException {
			this.delegate.position(position);
			return this;
		}

		@Override
		public long size() throws IOException {
			return this.delegate.size();
		}

		@Override
		public long transferTo(long position, long count, WritableByteChannel target) {
			throw new UnsupportedOperationException();
		}

		@Override
		public long transferFrom(ReadableByteChannel source, long position, long count) {
			throw new UnsupportedOperationException();
		}

		@Override
		public int read(ByteBuffer target, long position) throws IOException {
			return this.delegate.read(target, position);
		}

		@Override
		public int write(ByteBuffer source, long position) {
			throw new UnsupportedOperationException();
		}

		@Override
		public MappedByteBuffer map(MapMode mode, long position, long size) {
			throw new UnsupportedOperationException();
		}

		@Override
		public FileLock lock(long position, long size, boolean isShared) throws IOException {
			return this.delegate.lock(position, size, isShared);
		}

		@Override
		public FileLock tryLock(long position, long size, boolean isShared) throws IOException {
			return this.delegate.tryLock(position, size, isShared);
		}

		@Override
		protected void implCloseChannel() throws IOException {
			this.delegate.close();
		}

	}

}
