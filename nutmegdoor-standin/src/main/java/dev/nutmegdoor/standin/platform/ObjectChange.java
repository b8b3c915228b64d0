package dev.nutmegdoor.standin.platform;

/**
 * Change of an object in the log of changes.
 *
 * @param kind kind of the object
 * @param object the object after the change; if deleted, its last content with the
 * revision of the deletion
 * @param isDeleted whether the object was deleted
 */
record ObjectChange(String kind, ObjectRecord object, boolean isDeleted) {

}
