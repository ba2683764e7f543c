package io.balsamlane.router.json;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * Decodes JSON that other programs wrote. The decoder of Vert.x is recursive, so a deeply
 * nested value would overflow the stack of an event loop.
 */
public final class UntrustedJson {

	private static final int MAX_DEPTH = 64;

	private static final JsonFactory BOUNDED = factory(MAX_DEPTH);

	private static final JsonFactory UNBOUNDED = factory(Integer.MAX_VALUE);

	private UntrustedJson() {
	}

	private static JsonFactory factory(int maxDepth) {
		return JsonFactory.builder()
			.streamReadConstraints(StreamReadConstraints.builder()
				.maxNestingDepth(maxDepth)
				.maxNumberLength(
						(maxDepth == MAX_DEPTH) ? StreamReadConstraints.DEFAULT_MAX_NUM_LEN : Integer.MAX_VALUE)
				.build())
			.build();
	}

	/**
	 * Decode an object.
	 * @param json the text
	 * @return the object
	 * @throws DecodeException if the text is not a JSON object, is nested deeper than
	 * {@value #MAX_DEPTH} levels, or contains a number of more than 1000 digits
	 */
	public static JsonObject object(Buffer json) {
		try (JsonParser parser = BOUNDED.createParser(json.getBytes())) {
			if (parser.nextToken() != JsonToken.START_OBJECT) {
				throw new DecodeException("Not a JSON object");
			}
			parser.skipChildren();
		}
		catch (IOException ex) {
			throw new DecodeException("Not a valid JSON object: " + ex.getMessage(), ex);
		}
		return json.toJsonObject();
	}

	/**
	 * Split an array into its elements without decoding them, so that one that cannot be
	 * decoded does not affect the others.
	 * @param json the text
	 * @return the texts of the elements that are objects
	 * @throws DecodeException if the text is not a JSON array
	 */
	public static List<Buffer> objectsOf(Buffer json) {
		List<Buffer> elements = new ArrayList<>();
		try (JsonParser parser = UNBOUNDED.createParser(json.getBytes())) {
			if (parser.nextToken() != JsonToken.START_ARRAY) {
				throw new DecodeException("Not a JSON array");
			}
			for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
				if (token == null) {
					throw new DecodeException("The JSON array is incomplete");
				}
				int start = (int) parser.currentTokenLocation().getByteOffset();
				parser.skipChildren();
				if (token == JsonToken.START_OBJECT) {
					elements.add(json.slice(start, (int) parser.currentLocation().getByteOffset()));
				}
			}
		}
		catch (IOException ex) {
			throw new DecodeException("Not a valid JSON array: " + ex.getMessage(), ex);
		}
		return elements;
	}

}
