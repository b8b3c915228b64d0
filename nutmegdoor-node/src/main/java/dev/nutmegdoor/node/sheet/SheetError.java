package dev.nutmegdoor.node.sheet;

/**
 * A wrong cell of a sheet.
 *
 * @param row number of the row, where the header is row 1
 * @param column name of the column
 * @param value content of the cell
 * @param expectation what is expected instead
 */
public record SheetError(int row, String column, String value, String expectation) {

	@Override
	public String toString() {
		return "row " + this.row + ", column " + this.column + ": expected " + this.expectation + " but found '"
				+ this.value + "'";
	}

}
