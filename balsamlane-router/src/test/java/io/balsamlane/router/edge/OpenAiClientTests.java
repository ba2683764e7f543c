package io.balsamlane.router.edge;

import java.util.stream.Collectors;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.errors.NotFoundException;
import com.openai.errors.OpenAIException;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import com.openai.models.completions.Completion;
import com.openai.models.completions.CompletionCreateParams;
import io.balsamlane.standin.engine.Prompt;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests that the unmodified OpenAI client library works with the completion and chat API.
 */
class OpenAiClientTests {

	private static final String PROMPT = "a letter about wax crayons";

	private static final int MAX_TOKENS = 25;

	private EdgeFixture fixture;

	private OpenAIClient client;

	@BeforeEach
	void setUp() {
		this.fixture = EdgeFixture.withEngines(1, 1).start(EdgeFixture.settings().build());
		this.client = OpenAIOkHttpClient.builder()
			.baseUrl("http://127.0.0.1:" + this.fixture.port() + "/v1")
			.apiKey("token")
			.maxRetries(0)
			.build();
	}

	@AfterEach
	void tearDown() {
		this.client.close();
		this.fixture.close();
	}

	private static ChatCompletionCreateParams chat(String model) {
		return ChatCompletionCreateParams.builder()
			.model(model)
			.addUserMessage(PROMPT)
			.maxCompletionTokens(MAX_TOKENS)
			.build();
	}

	@Test
	void chatCompletionIsReturned() {
		ChatCompletion answer = this.client.chat().completions().create(chat(EdgeFixture.MODEL)).validate();
		assertThat(answer.choices().get(0).message().content()).contains(Prompt.parse(PROMPT).answer(MAX_TOKENS));
		assertThat(answer.usage().orElseThrow().completionTokens()).isEqualTo(MAX_TOKENS);
	}

	@Test
	void chatCompletionIsStreamed() {
		try (StreamResponse<ChatCompletionChunk> chunks = this.client.chat()
			.completions()
			.createStreaming(chat(EdgeFixture.MODEL))) {
			String text = chunks.stream()
				.map(ChatCompletionChunk::validate)
				.map((chunk) -> chunk.choices().get(0).delta().content().orElse(""))
				.collect(Collectors.joining());
			assertThat(text).isEqualTo(Prompt.parse(PROMPT).answer(MAX_TOKENS));
		}
	}

	@Test
	void textCompletionIsReturned() {
		Completion answer = this.client.completions()
			.create(CompletionCreateParams.builder()
				.model(EdgeFixture.MODEL)
				.prompt(PROMPT)
				.maxTokens(MAX_TOKENS)
				.build());
		assertThat(answer.choices().get(0).text()).isEqualTo(Prompt.parse(PROMPT).answer(MAX_TOKENS));
	}

	@Test
	void closingTheStreamReleasesEngineMemory() {
		this.fixture.setFaults("decode-1", new JsonObject().put("slowFactor", 20));
		StreamResponse<ChatCompletionChunk> chunks = this.client.chat()
			.completions()
			.createStreaming(chat(EdgeFixture.MODEL));
		assertThat(chunks.stream().findFirst()).isPresent();
		assertThat(this.fixture.usedPieces()).isPositive();
		chunks.close();
		EdgeFixture.awaitThat("memory is free", () -> this.fixture.usedPieces() == 0);
		assertThat(this.fixture.ledger("decode-1")).contains("\"cancelled\"");
	}

	@Test
	void unknownModelIsReportedAsNotFound() {
		assertThatExceptionOfType(NotFoundException.class)
			.isThrownBy(() -> this.client.chat().completions().create(chat("no-such-model")))
			.satisfies((ex) -> assertThat(ex.code()).contains("unknown-model"));
	}

	@Test
	void errorDuringStreamThrowsException() {
		this.fixture.setFaults("decode-1", new JsonObject().put("slowFactor", 20));
		StreamResponse<ChatCompletionChunk> chunks = this.client.chat()
			.completions()
			.createStreaming(chat(EdgeFixture.MODEL));
		this.fixture.stopEngine("decode-1");
		assertThatExceptionOfType(OpenAIException.class).isThrownBy(() -> chunks.stream().toList());
	}

}
