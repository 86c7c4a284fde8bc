# Sourced by `run`: sets $heap, the JVM's heap by the memory that the configuration grants. Only the shell's own words:
# where the platform refuses a fork, a subshell, a pipe or another program would end the start. Beside the heap the JVM
# takes some 30 MB (classes, compiled code, stacks) and buffers; a heap that may grow past the rest would get the program
# killed instead of collected. What is missing or garbled gets the smallest heap, and the program then says what is wrong.
#
# Danger: patterns over the whole text cost time with its square: 3 s of a core for the list of 200 routers, at each start.
# So the text is split into its fields, which takes one pass, and each field is looked at by itself.
mb= name= was=$IFS
if [ -f "$ROUTER_CONFIG" ] && [ -r "$ROUTER_CONFIG" ]; then
  set -f # what stands in the file is no pattern
  while IFS= read -r line || [ -n "$line" ]; do
    IFS=',{}'
    for field in $line; do
      # What stands between the name and the figure, also on lines of their own, is a colon and white space.
      case $field in
        *'"memory_mb"'*) name=found field=${field#*'"memory_mb"'} ;;
      esac
      while [ -n "$name" ]; do
        case $field in
          [[:space:]:]*) field=${field#?} ;;
          '') break ;; # on the next line, perhaps
          *)
            mb=${field%%[!0-9]*}
            break 3
            ;;
        esac
      done
    done
  done <"$ROUTER_CONFIG"
  set +f
fi
IFS=$was
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
