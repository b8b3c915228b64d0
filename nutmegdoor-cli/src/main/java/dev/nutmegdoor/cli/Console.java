package dev.nutmegdoor.cli;

import java.io.PrintStream;

/**
 * Output streams of a command.
 *
 * @param out results
 * @param err messages about errors and progress
 */
public record Console(PrintStream out, PrintStream err) {

}
