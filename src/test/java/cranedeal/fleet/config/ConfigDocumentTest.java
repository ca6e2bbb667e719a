package cranedeal.fleet.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SortedMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Valid and invalid configuration documents, and the messages for the invalid ones. */
class ConfigDocumentTest {

    private static final String GOOD = """
            {
              "form": 1,
              "services": {
                "front": {
                  "settings": {"limits": {"attemptsCap": 3}},
                  "discovery": "127.0.0.1:9000"
                },
                "back": {}
              }
            }
            """;

    private static SortedMap<String, byte[]> parse(String text) throws Exception {
        return ConfigDocument.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void equalSectionsHaveEqualBytesRegardlessOfWhitespace() throws Exception {
        SortedMap<String, byte[]> sections = parse(GOOD);
        assertEquals(java.util.Set.of("front", "back"), sections.keySet());
        assertEquals("{\"settings\":{\"limits\":{\"attemptsCap\":3}},\"discovery\":\"127.0.0.1:9000\"}",
                new String(sections.get("front"), StandardCharsets.UTF_8));
        assertTrue(Arrays.equals(sections.get("front"), parse(GOOD.replace(" ", "")).get("front")));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
        "\"form\": 1|\"form\": 2|line 2: form is not 1",
        "\"form\": 1,||form is not 1",
        "\"form\": 1|\"form\": 1, \"more\": 2|line 2: more is no key of a document",
        "\"services\"|\"servces\"|line 3: servces is no key of a document",
        "\"front\"|\"a b\"|line 4: services.a b has no name of a service",
        "\"back\": {}|\"back\": []|line 8: services.back is no object",
        "\"back\": {}|\"back\": {\"listen\": \"x\"}|line 8: services.back.listen is a machine's own",
        "\"back\": {}|\"back\": {\"seed\": \"1\"}|line 8: services.back.seed is a machine's own",
        "\"back\": {}|\"back\": {\"fleet\": {}}|line 8: services.back.fleet is a machine's own",
        "\"back\": {}|\"back\": {\"settings\": {\"zone\": 1}}|services.back.settings.zone is a machine's own",
        "\"back\": {}|\"back\": {\"settings\": 1}|line 8: services.back.settings is no object",
        "\"back\": {}|\"back\": {\"discovery\": 1}|line 8: services.back.discovery is no address",
        "\"back\": {}|\"back\": {\"retries\": 1}|line 8: services.back.retries is no key of a section",
        "\"back\": {}|\"front\": {}|line 8, column",
        "\"back\": {}|\"back\": {|column",
        "3}},|3}|line 6, column"})
    void errorNamesLineAndKey(String from, String to, String expectedMessage) {
        String bad = GOOD.replace(from, to == null ? "" : to);
        assertTrue(!bad.equals(GOOD));
        Exception e = assertThrows(ConfigDocument.BadDocumentException.class, () -> parse(bad));
        assertTrue(e.getMessage().contains(expectedMessage), e.getMessage());
    }

    @Test
    void oversizedOrEmptyDocumentIsRejected() {
        String large = GOOD.replace("\"back\": {}", "\"back\": {\"settings\": {\"is\": \""
                + "x".repeat(ConfigDocument.MAX_SECTION_BYTES) + "\"}}");
        Exception e = assertThrows(ConfigDocument.BadDocumentException.class, () -> parse(large));
        assertTrue(e.getMessage().startsWith("line 8: services.back has 26"), e.getMessage());
        assertThrows(ConfigDocument.BadDocumentException.class,
                () -> parse(" ".repeat(ConfigDocument.MAX_DOCUMENT_BYTES) + GOOD));
        assertThrows(ConfigDocument.BadDocumentException.class, () -> parse(""));
        assertThrows(ConfigDocument.BadDocumentException.class, () -> parse("[]"));
    }
}
