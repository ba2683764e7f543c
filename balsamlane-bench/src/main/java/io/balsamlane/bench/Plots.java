package io.balsamlane.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/**
 * Line plots as PNG files.
 */
final class Plots {

	private static final int WIDTH = 900;

	private static final int HEIGHT = 540;

	private Plots() {
	}

	/**
	 * Writes a plot.
	 * @param file the file; its suffix is {@code .png}
	 * @param title title of the plot
	 * @param xTitle title of the horizontal axis
	 * @param yTitle title of the vertical axis
	 * @param series points by name of the series
	 */
	static void write(Path file, String title, String xTitle, String yTitle, Map<String, Points> series) {
		System.setProperty("java.awt.headless", "true");
		XYChart chart = new XYChartBuilder().width(WIDTH)
			.height(HEIGHT)
			.title(title)
			.xAxisTitle(xTitle)
			.yAxisTitle(yTitle)
			.build();
		series.forEach((name, points) -> chart.addSeries(name, points.x(), points.y()));
		try {
			BitmapEncoder.saveBitmap(chart, file.toString(), BitmapFormat.PNG);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Points of one series.
	 *
	 * @param x horizontal positions
	 * @param y vertical positions
	 */
	record Points(List<Double> x, List<Double> y) {
	}

}
