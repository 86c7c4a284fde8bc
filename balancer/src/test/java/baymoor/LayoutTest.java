package baymoor;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.Test;

/** The allowed dependencies between packages, as documented in the README. */
public class LayoutTest {

    @Test
    public void packageDependenciesAreLayeredAndAcyclic() {
        JavaClasses classes = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("baymoor", "merlinstep");
        slices().matching("(baymoor.*)..").should().beFreeOfCycles().check(classes);
        var layers = layeredArchitecture().consideringOnlyDependenciesInLayers();
        for (String name : new String[] {
            "config", "resp", "http", "inventory", "peers", "north", "south", "dispatch", "net", "assembly", "serve"
        }) {
            layers = layers.layer(name).definedBy("baymoor." + name + "..");
        }
        layers.whereLayer("serve")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("net")
                .mayOnlyBeAccessedByLayers("serve")
                .whereLayer("assembly")
                .mayOnlyBeAccessedByLayers("serve")
                .whereLayer("dispatch")
                .mayOnlyBeAccessedByLayers("assembly", "serve")
                .whereLayer("north")
                .mayOnlyBeAccessedByLayers("dispatch", "assembly", "serve")
                .whereLayer("south")
                .mayOnlyBeAccessedByLayers("dispatch", "assembly", "serve")
                .whereLayer("config")
                .mayOnlyBeAccessedByLayers("assembly", "serve")
                .check(classes);
        ArchRuleDefinition.noClasses()
                .that()
                .resideOutsideOfPackages("baymoor.net..", "merlinstep.simhost..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.apache.mina..", "java.nio.channels..")
                .because("state machines must not depend on sockets")
                .check(classes);
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAPackage("baymoor..")
                .and()
                .resideOutsideOfPackage("baymoor.dispatch..")
                .should()
                .callMethod(
                        merlinstep.Decisions.class,
                        "decide",
                        long.class,
                        merlinstep.Decisions.Event.class,
                        merlinstep.Decisions.Sink.class)
                .because("only dispatch may call the decisions")
                .check(classes);
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAPackage("baymoor.dispatch..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("baymoor.resp..", "baymoor.http..")
                .because("dispatch must not depend on protocols")
                .check(classes);
    }
}
