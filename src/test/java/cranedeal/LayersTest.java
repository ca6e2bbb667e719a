package cranedeal;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks the allowed dependencies between packages. */
@AnalyzeClasses(packages = "cranedeal", importOptions = ImportOption.DoNotIncludeTests.class)
class LayersTest {

    private static final String FLEET = "cranedeal.fleet.";

    @ArchTest
    static final ArchRule LAYERS = layeredArchitecture()
            .consideringOnlyDependenciesInAnyPackage("cranedeal..")
            .withOptionalLayers(true)
            .layer("decisions").definedBy("cranedeal")
            .layer("wire").definedBy("cranedeal.wire")
            .layer("node").definedBy("cranedeal.node..")
            .layer("store").definedBy(FLEET + "store")
            .layer("membership").definedBy(FLEET + "membership")
            .layer("config").definedBy(FLEET + "config")
            .layer("duty").definedBy(FLEET + "duty")
            .layer("release").definedBy(FLEET + "release")
            .layer("agent").definedBy(FLEET + "agent")
            .layer("command").definedBy(FLEET + "command")
            .layer("lab").definedBy("cranedeal.lab..")
            .whereLayer("lab").mayNotBeAccessedByAnyLayer()
            .whereLayer("command").mayOnlyBeAccessedByLayers("node", "lab")
            .whereLayer("agent").mayOnlyBeAccessedByLayers("command", "lab")
            .whereLayer("release").mayOnlyBeAccessedByLayers("command", "lab")
            .whereLayer("duty").mayOnlyBeAccessedByLayers("release", "command", "lab")
            .whereLayer("config").mayOnlyBeAccessedByLayers("command", "lab", "node")
            .whereLayer("membership").mayOnlyBeAccessedByLayers("config", "release", "agent", "command",
                    "lab", "node")
            .whereLayer("store").mayOnlyBeAccessedByLayers("config", "duty", "agent", "command", "lab",
                    "node")
            .whereLayer("decisions").mayOnlyBeAccessedByLayers("wire", "node", "lab");

    @ArchTest
    static final ArchRule ONLY_FLEET_CLASSES_OF_THE_NODE_USE_THE_FLEET = noClasses().that()
            .resideInAnyPackage("cranedeal", "cranedeal.wire", "cranedeal.node..")
            .and().haveNameNotMatching("cranedeal\\.node\\.Fleet.*")
            .should().dependOnClassesThat(resideInAPackage("cranedeal.fleet.."));

    @ArchTest
    static final ArchRule THE_WIRE_DOES_NOT_USE_THE_FLEET = noClasses().that()
            .resideInAPackage("cranedeal.wire")
            .should().dependOnClassesThat(resideInAPackage("cranedeal.fleet.."));
}
