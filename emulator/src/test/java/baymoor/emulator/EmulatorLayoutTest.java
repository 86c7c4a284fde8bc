package baymoor.emulator;

import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.Test;

/** Packages and modules import in one direction, and the world knows no socket. */
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
                .because("what serves knows no tool")
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
                .because("a state machine knows no socket")
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
                .because("the judge hears what happened and does nothing else")
                .check(classes);
    }
}
