# Sourced by scripts that start processes on loopback addresses.

# claim_network sets net to the first three bytes of a loopback network that no
# other script on the machine uses. The script and the processes that it starts
# hold the lock, so that it is released when the last of them ends.
claim_network() {
	local directory slot
	directory="${TMPDIR:-/tmp}/balsamvane-networks-$UID"
	mkdir -p "$directory"
	while true; do
		slot=$((RANDOM % 200 + 20))
		exec {network_lock}>"$directory/$slot"
		if flock --nonblock "$network_lock"; then break; fi
		exec {network_lock}>&-
	done
	net="127.77.$slot"
}
