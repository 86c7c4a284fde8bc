package baymoor.tier;

import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.Test;

/** Guards against package cycles, third-party dependencies, I/O, threads, clocks and unseeded randomness in the module. */
public class LayoutTest {

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("baymoor.tier");

    @Test
    public void packagesAreFreeOfCycles() {
        slices().matching("baymoor.tier.(*)..").should().beFreeOfCycles().check(CLASSES);
    }

    @Test
    public void dependsOnlyOnJdkPackages() {
        ArchRuleDefinition.classes()
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("baymoor.tier..", "java.lang", "java.lang.runtime", "java.util..", "java.nio")
                .check(CLASSES);
        ArchRuleDefinition.noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.util.concurrent..", "java.lang.reflect..")
                .check(CLASSES);
    }

    @Test
    public void usesNoClockThreadOrUnseededRandomness() {
        ArchRuleDefinition.noClasses()
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(java.util.Random.class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(CLASSES);
    }
}
