# Copyright 2026 sedgecart maintainers. SPDX-License-Identifier: Apache-2.0
# Completion of sedgecart's statements and options for bash. Installed for bash-completion; or: source this file.

_sedgecart() {
  local word=${COMP_WORDS[COMP_CWORD]} before=${COMP_WORDS[COMP_CWORD - 1]} choices=""
  case $before in
    show) choices="halls links customers routes targets nodes requests changes" ;;
    add | remove) choices="hall link customer route target" ;;
    drain | resume) choices="target hall" ;;
    release | take | move | holds) choices="route" ;;
    who) choices="holds" ;;
    halls | links | customers | routes | targets | nodes | requests | changes) choices="where" ;;
    apply | capacity | explain | losses) mapfile -t COMPREPLY < <(compgen -f -- "$word"); return ;;
    sedgecart | --json | --dry-run | --follow)
      choices="show who add remove drain resume release take move undo apply dump load explain losses capacity"
      choices+=" keygen" ;;
  esac
  [[ $word == -* ]] && choices="--help --version --node --operator-key --author --wait-ms --dry-run --follow --json
    --customers --rate --seconds --tokens --prompt-bytes --deadline-ms --seed --window-s --first-ms --csv"
  mapfile -t COMPREPLY < <(compgen -W "$choices" -- "$word")
}
complete -F _sedgecart sedgecart
