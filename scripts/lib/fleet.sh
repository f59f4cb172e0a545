# Starts a small fleet of processes on loopback; sourced by the scripts beside this folder.
#
# Takes: bin (folder of the binaries), port (base port; 400 ports from there are used), entry_count
# (default 3), slots and work_time of each target.
# Gives: work (scratch folder), caller_address N, announce_address N, target_address SERVICE N,
# operator_address, put_rules FILE, and stops everything on exit.

work=$(mktemp -d)
pids=()

stop_fleet() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_fleet EXIT

start() { # log name, command...
  local log=$work/$1.log
  shift
  "$@" >"$log" 2>&1 &
  pids+=($!)
}

keepers= entries=
entry_numbers=$(seq 1 "${entry_count:-3}")
for n in 1 2 3; do
  keepers+="${keepers:+,}{\"vm\":\"keeper-$n\",\"address\":\"127.0.0.1:$((port + n))\"}"
done
for n in $entry_numbers; do
  entries+="${entries:+,}{\"vm\":\"entry-$n\",\"address\":\"127.0.0.1:$((port + 100 + n))\"}"
done
caller_address() { echo "127.0.0.1:$((port + 200 + $1))"; }
announce_address() { echo "127.0.0.1:$((port + 300 + $1))"; }
target_address() { # service, number
  echo "127.0.0.1:$((port + $([ "$1" = stock ] && echo 50 || echo 60) + $2))"
}
operator_address=127.0.0.1:$((port + 41))

"$bin/auburnbridge" keys authority --folder "$work/authority"
issue_key() { # role, number
  "$bin/auburnbridge" keys issue --authority "$work/authority" \
    --folder "$work/keys/$1-$2" --vm "$1-$2" --role "$1"
}
for n in 1 2 3; do issue_key keeper "$n"; done
for n in $entry_numbers; do issue_key entry "$n"; done
echo "quickstart-operator-key-$RANDOM$RANDOM$RANDOM" >"$work/operator-key"
digest=$(tr -d '\n' <"$work/operator-key" | sha256sum | cut -d' ' -f1)

for n in 1 2 3; do
  api=
  [ $n -eq 1 ] && api="\"operator_address\":\"$operator_address\",
    \"operator_keys\":[{\"name\":\"quickstart\",\"sha256\":\"$digest\",\"services\":[\"*\"]}],"
  cat >"$work/keeper-$n.json" <<JSON
{"vm":"keeper-$n","data_centre":"east","peer_address":"127.0.0.1:$((port + n))",$api
 "keys":"keys/keeper-$n","data_folder":"data/keeper-$n","members":[$keepers]}
JSON
  start "keeper-$n" "$bin/auburnbridge" keeper --settings "$work/keeper-$n.json"
done
for n in $entry_numbers; do
  others=$(echo "$entries" | sed "s/{\"vm\":\"entry-$n\"[^}]*},\{0,1\}//; s/,$//")
  cat >"$work/entry-$n.json" <<JSON
{"vm":"entry-$n","data_centre":"east","caller_address":"$(caller_address $n)",
 "announce_address":"$(announce_address $n)","peer_address":"127.0.0.1:$((port + 100 + n))",
 "keys":"keys/entry-$n","keepers":[$keepers],"entries":[$others],"balancer_lag":"200ms"}
JSON
  start "entry-$n" "$bin/auburnbridge" entry --settings "$work/entry-$n.json"
done
for n in 1 2 3; do
  for service in stock dispatch; do
    RUST_LOG=info start "$service-$n" "$bin/auburnbridge-standin" target --id "$service-$n" \
      --service $service --address "$(target_address $service $n)" --data-centre east \
      --slots "${slots:-3}" --work "${work_time:-5ms}" \
      --announce-to "$(announce_address $n)"
  done
done

retry() { # attempts, command...
  local left=$1
  shift
  until "$@" >"$work/last" 2>&1; do
    left=$((left - 1))
    if [ $left -eq 0 ]; then
      cat "$work/last" "$work"/*.log
      return 1
    fi
    sleep 0.2
  done
  cat "$work/last"
}

put_rules() { # file
  retry 50 "$bin/auburnbridge" rules put --address "$operator_address" \
    --key-file "$work/operator-key" --file "$1"
}
