package baymoor.scale;

import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.Test;

/** Packages import in one direction, nothing that serves knows this module, and what is drawn knows no socket. */
public class ScaleLayoutTest {

    private final JavaClasses program = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("baymoor", "merlinstep");

    @Test
    public void packagesImportInOneDirection() {
        slices().matching("baymoor.scale.(*)..").should().beFreeOfCycles().check(program);
        ArchRuleDefinition.noClasses()
                .that()
                .resideOutsideOfPackages("baymoor.scale..", "baymoor.cli..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("baymoor.scale..")
                .check(program);
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAPackage("baymoor.scale..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("baymoor.cli..")
                .check(program);
    }

    @Test
    public void whatIsDrawnKnowsNoSocket() {
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAPackage("baymoor.scale.plan..")
                .or()
                .haveNameMatching("baymoor\\.scale\\.hollow\\.(Drawn.*|PlaceNetwork|Traffic)")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("baymoor.net..", "org.apache.mina..", "java.nio.channels..")
                .because("a state machine knows no socket")
                .check(program);
    }
}
