package dev.nutmegdoor.core.upstream;

/**
 * Response of a plain service.
 *
 * @param status HTTP status code
 * @param body response body as JSON
 */
public record ServiceResponse(int status, String body) {

}
