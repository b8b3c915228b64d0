package dev.nutmegdoor.experiment.scheduling;

import java.awt.image.BufferedImage;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import javax.imageio.ImageIO;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.data.category.DefaultCategoryDataset;

/**
 * Writes results as JSON and as charts.
 */
public final class ResultWriter {

	private static final int WIDTH_PX = 900;

	private static final int HEIGHT_PX = 500;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private ResultWriter() {
	}

	/**
	 * Writes rows as one JSON object.
	 * @param rows the rows
	 * @return an object with the array {@code rows}
	 */
	public static String toJson(List<ResultRow> rows) {
		List<Map<String, Object>> list = new ArrayList<>();
		for (ResultRow row : rows) {
			Map<String, Object> object = new LinkedHashMap<>();
			object.put("policy", row.policy());
			object.put("scenario", row.scenario());
			object.put("load", row.load());
			object.put("seeds", row.seeds());
			row.mean().forEach((name, value) -> put(object, name, value));
			Map<String, Object> confidence = new LinkedHashMap<>();
			row.confidence95().forEach((name, value) -> put(confidence, name, value));
			object.put("confidence95", confidence);
			list.add(object);
		}
		try {
			return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(Map.of("rows", list));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("failed to write results as JSON", ex);
		}
	}

	/**
	 * Writes one chart of program latency for each scenario.
	 * @param rows the rows
	 * @param directory directory of the files, created if it is missing
	 */
	public static void plot(List<ResultRow> rows, Path directory) {
		Set<String> scenarios = new LinkedHashSet<>();
		rows.stream().filter((row) -> row.load() > 0).forEach((row) -> scenarios.add(row.scenario()));
		try {
			Files.createDirectories(directory);
			for (String scenario : scenarios) {
				DefaultCategoryDataset data = new DefaultCategoryDataset();
				rows.stream()
					.filter((row) -> row.scenario().equals(scenario))
					.forEach((row) -> data.addValue(row.figure("program_latency_ms.p95") / 1_000, row.policy(),
							Double.toString(row.load())));
				JFreeChart chart = ChartFactory.createLineChart("Program latency p95, " + scenario, "load", "seconds",
						data);
				BufferedImage image = chart.createBufferedImage(WIDTH_PX, HEIGHT_PX);
				ImageIO.write(image, "png", directory.resolve("scheduling-" + scenario + ".png").toFile());
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("failed to write charts to " + directory, ex);
		}
	}

	// A name with a dot, such as program_latency_ms.p95, becomes a nested object.
	@SuppressWarnings("unchecked")
	private static void put(Map<String, Object> object, String name, double value) {
		int dot = name.indexOf('.');
		if (dot < 0) {
			object.put(name, value);
			return;
		}
		Map<String, Object> nested = (Map<String, Object>) object.computeIfAbsent(name.substring(0, dot),
				(key) -> new LinkedHashMap<String, Object>());
		nested.put(name.substring(dot + 1), value);
	}

}
