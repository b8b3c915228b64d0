package dev.nutmegdoor.standin.platform;

/**
 * A change of an object.
 *
 * @param kind kind of the object
 * @param object the object after the change, or before it was deleted
 * @param isDeleted whether the object was deleted
 */
record ObjectChange(String kind, ObjectRecord object, boolean isDeleted) {

}
