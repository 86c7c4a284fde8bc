# build, test, format, lint, run, demo: what the README says, in one word each.
.PHONY: build test format lint run demo clean

build:
	mvn -q -DskipTests package

test:
	mvn -B verify

# Writes every source file in the project's format.
format:
	mvn -q spotless:apply

# The format, the rules in checkstyle.xml, and the compiler with every warning on; a warning is an error here.
lint:
	mvn -q spotless:check checkstyle:check@rules
	mvn -q -DskipTests -Dmaven.compiler.failOnWarning=true clean package

# Needs ROUTER_CONFIG in the environment; the flags are those of deploy/balancer.toml.
run: build
	bin/baymoor serve

# Two balancers between stand-ins of all else, for 15 s.
demo: build
	bin/baymoor demo

clean:
	mvn -q clean
