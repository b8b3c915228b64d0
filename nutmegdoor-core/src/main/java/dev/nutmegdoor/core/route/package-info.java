/**
 * Routes and replicas of a deployment: to which service a request is sent, and whether it
 * may be repeated or interrupted.
 */
@NullMarked
package dev.nutmegdoor.core.route;

import org.jspecify.annotations.NullMarked;
