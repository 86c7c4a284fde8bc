# The JVM's heap by the memory that the configuration grants. Beside the heap the JVM takes some 30 MB (classes, compiled
# code, stacks) and buffers; a heap that may grow past the rest would get the program killed instead of collected.
mb=$(sed -n 's/.*"memory_mb"[[:space:]]*:[[:space:]]*\([0-9][0-9]*\).*/\1/p' "$ROUTER_CONFIG" 2>/dev/null | head -n 1)
heap=$(((${mb:-160} - 40) * 3 / 4))
[ "$heap" -ge 16 ] || heap=16
[ "$heap" -le 96 ] || heap=96
first=$heap
[ "$first" -le 48 ] || first=48
echo "-Xms${first}m -Xmx${heap}m"
