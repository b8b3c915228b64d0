package dev.nutmegdoor.core.upstream;

/**
 * Answer of a plain service.
 *
 * @param status HTTP status
 * @param body JSON body
 */
public record ServiceResponse(int status, String body) {

}
