package cloverpulley.membership;

/**
 * A change of the list, or of what is held back.
 *
 * @param member as it is now, {@link Member.Phase#GONE} where it has left
 * @param resolver which resolver's word brought it; -1 for none's
 */
public record Change(long at, Member member, ChangeReason reason, int resolver) {

  @Override
  public String toString() {
    return member.id() + " " + member.phase().name().toLowerCase(java.util.Locale.ROOT) + " " + reason.code()
        + (resolver < 0 ? "" : " by=" + resolver);
  }
}
