package parties;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Three coordinators, and the commands with which operators speak to them. */
final class Fleet {

    private static final String JAR = "target/sablehinge.jar";

    private final Rig rig;
    final List<String> addresses = new ArrayList<>();
    final List<Process> coordinators = new ArrayList<>();

    /** A command's exit code, and what it printed. */
    record Output(int code, String text) { }

    Fleet(Rig rig) throws Exception {
        this.rig = rig;
        for (int i = 0; i < 3; i++) {
            addresses.add("127.0.4." + (i + 1) + ":" + Rig.freePort("127.0.4." + (i + 1)));
        }
        for (int i = 0; i < 3; i++) {
            Path file = rig.temporary.resolve("c" + i + ".json");
            Files.writeString(file, """
                    {"fleet":"clinics","name":"c%d","listen":"%s","zone":"baneshwor","state_dir":"%s",
                     "peers":["%s"]}""".formatted(i, addresses.get(i), rig.temporary.resolve("c" + i + "-state"),
                    String.join("\",\"", addresses)));
            coordinators.add(rig.start("c" + i, Map.of(), "java", "-jar", JAR, "coordinator", "--config",
                    file.toString()));
        }
    }

    /** All addresses, as a command wants them. */
    String all() {
        return String.join(",", addresses);
    }

    /** Makes the first coordinator the leader; returns false if it does not get there. */
    boolean lead() throws Exception {
        for (int i = 0; i < 20; i++) {
            if (command("take-over", "--to", addresses.get(0)).code() == 0) {
                return true;
            }
            Thread.sleep(500);
        }
        return false;
    }

    /** A balancer's configuration, made a member that goes by what is published for the service front. */
    String member(String name, String config) throws Exception {
        String listen = "127.0.4.9:" + Rig.freePort("127.0.4.9");
        return config.replaceFirst("\\{", "{\"fleet\":{\"name\":\"clinics\",\"listen\":\"" + listen
                + "\",\"seeds\":[\"" + String.join("\",\"", addresses) + "\"],\"state_dir\":\""
                + rig.temporary.resolve(name + "-state") + "\",\"service\":\"front\"},");
    }

    /** Runs {@code fleet config} with arguments. */
    Output command(String... arguments) throws Exception {
        List<String> command = new ArrayList<>(List.of("java", "-jar", JAR, "fleet", "config"));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).directory(rig.root.toFile()).redirectErrorStream(true)
                .start();
        String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        if (!process.waitFor(30, TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor();
        }
        if (!arguments[0].equals("status")) {
            rig.record("fleet config " + String.join(" ", arguments) + ": exit code " + process.exitValue()
                    + ": " + text.strip());
        }
        return new Output(process.exitValue(), text);
    }

    /** Waits until all go by the newest version; returns the status, or null after 15 s. */
    String awaitInForce() throws Exception {
        for (double until = rig.now() + 15_000; rig.now() < until; Thread.sleep(300)) {
            Output status = command("status", "--json", "--to", all());
            if (status.code() == 0) {
                return status.text();
            }
        }
        return null;
    }
}
