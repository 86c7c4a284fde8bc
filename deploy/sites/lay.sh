#!/bin/sh
# Lays beside the sites of this folder what the platform's bench wants there: the words of the wire and of the sockets from the first folder
# that is given, and the names of the troubles that it may play from all of them (folders with wire.json, real.json and unlock.txt of the
# platform's own sites). What is laid is the platform's, is ignored by git, and no test needs it.
set -eu
first=${1:?usage: lay.sh FOLDER..., the first with wire.json, real.json and unlock.txt}
here=$(dirname "$0")
for file in wire.json real.json; do
  cat "$first/$file" >"$here/$file"
done
for folder in "$@"; do
  cat "$folder/unlock.txt"
done | sort -u >"$here/unlock.txt"
