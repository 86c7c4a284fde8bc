package baymoor.emulator;

import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.Test;

/** Tests that dependencies between packages and modules have one direction and that state machines use no sockets. */
public class EmulatorLayoutTest {

    @Test
    public void packagesImportInOneDirection() {
        JavaClasses classes = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("baymoor", "merlinstep");
        slices().matching("baymoor.emulator.(*)..").should().beFreeOfCycles().check(classes);
        ArchRuleDefinition.noClasses()
                .that()
                .resideOutsideOfPackages("baymoor.emulator..", "baymoor.cli..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("baymoor.emulator..", "baymoor.cli..")
                .because("production code must not depend on tools")
                .check(classes);
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAPackage("baymoor.emulator..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("baymoor.cli..")
                .check(classes);
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAnyPackage(
                        "baymoor.emulator.world..",
                        "baymoor.emulator.judge..",
                        "baymoor.emulator.engine..",
                        "baymoor.emulator.chance..",
                        "baymoor.emulator.scenario..",
                        "baymoor.emulator.virtual..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("baymoor.net..", "org.apache.mina..", "java.nio.channels..")
                .because("state machines must not use sockets")
                .check(classes);
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAnyPackage("baymoor.emulator.judge..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "baymoor.emulator.world..",
                        "baymoor.emulator.virtual..",
                        "baymoor.emulator.sockets..",
                        "java.io..",
                        "java.nio.file..")
                .because("the judge only evaluates reported events")
                .check(classes);
    }
}
