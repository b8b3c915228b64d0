package dev.nutmegdoor.core.store;

import java.util.List;

/**
 * Connects the lists of an instance to those of other instances, so that not every
 * instance has to watch the store. Methods are called on the control thread.
 */
public interface WatchSharing {

	/** Lists that are not shared: the instance always watches the store itself. */
	WatchSharing NONE = new WatchSharing() {

		@Override
		public boolean isWatchNeeded(String kind) {
			return true;
		}

		@Override
		public void listed(String kind, long revision) {
		}

		@Override
		public void changed(String kind, List<StoreEvent> changes, long revision) {
		}

	};

	/**
	 * Returns whether this instance has to watch the store. Asked before each watch; if
	 * the answer is {@code false}, the watch rests until {@link ListWatcher#resume()}.
	 * @param kind kind of the objects
	 * @return {@code false} if changes arrive from other instances
	 */
	boolean isWatchNeeded(String kind);

	/**
	 * Called when the objects have been listed. Changes before that are not known.
	 * @param kind kind of the objects
	 * @param revision revision of the list
	 */
	void listed(String kind, long revision);

	/**
	 * Called after changes have been applied, from the store or from another instance.
	 * @param kind kind of the objects
	 * @param changes at least one change, oldest first, with revisions from
	 * {@link ChangeRevisions}
	 * @param revision revision up to which changes have been applied
	 */
	void changed(String kind, List<StoreEvent> changes, long revision);

}
