# Sourced by `run`: sets $heap, the JVM's heap by the memory that the configuration grants. Only the shell's own words:
# where the platform refuses a fork, a subshell, a pipe or another program would end the start. Beside the heap the JVM
# takes some 30 MB (classes, compiled code, stacks) and buffers; a heap that may grow past the rest would get the program
# killed instead of collected. What is missing or garbled gets the smallest heap, and the program then says what is wrong.
mb= text=
if [ -f "$ROUTER_CONFIG" ] && [ -r "$ROUTER_CONFIG" ]; then
  while read -r line || [ -n "$line" ]; do
    text="$text $line "
    case $text in *'"memory_mb"'*:*[0-9]*[!0-9]*) break ;; esac
  done <"$ROUTER_CONFIG"
  text=${text#*'"memory_mb"'}
  # What stands between the name and the figure must be a colon and white space; then its leading digits.
  mb=${text%%[!0-9]*}
  while [ -z "$mb" ]; do
    case $text in
      [[:space:]:]*) text=${text#?} ;;
      *) break ;;
    esac
    mb=${text%%[!0-9]*}
  done
fi
case $mb in
  '' | 0*) mb=0 ;; # no figure, or one that the shell's arithmetic would take for octal
  ????????*) mb=9999999 ;;
esac
heap=$(((mb - 40) * 3 / 4))
[ "$heap" -ge 16 ] || heap=16
[ "$heap" -le 96 ] || heap=96
first=$heap
[ "$first" -le 48 ] || first=48
heap="-Xms${first}m -Xmx${heap}m"
