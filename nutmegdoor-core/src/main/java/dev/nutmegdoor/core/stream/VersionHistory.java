package dev.nutmegdoor.core.stream;

/**
 * What an instance knows of the software versions that have served a service while a
 * stream that is taken up now can have begun.
 */
enum VersionHistory {

	/** Only one version. */
	SINGLE,

	/** More than one version. */
	SEVERAL,

	/** The instance has not known the service for long enough. */
	UNKNOWN

}
