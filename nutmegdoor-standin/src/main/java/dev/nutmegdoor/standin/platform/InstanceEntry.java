package dev.nutmegdoor.standin.platform;

/**
 * Entry of the instance list as it is sent.
 *
 * @param id identifier
 * @param availabilityZone zone
 * @param host IP number
 * @param port TCP port
 * @param state {@code live} or {@code leaving}
 */
record InstanceEntry(String id, String availabilityZone, String host, int port, String state) {

}
