package cloverpulley.membership;

/**
 * A change of the published member list.
 *
 * @param member its new state; {@link Member.Phase#GONE} if it was removed
 * @param resolver index of the resolver whose report caused it; -1 for none
 */
public record Change(long at, Member member, ChangeReason reason, int resolver) {

  @Override
  public String toString() {
    return member.id() + " " + member.phase().name().toLowerCase(java.util.Locale.ROOT) + " " + reason.code()
        + (resolver < 0 ? "" : " by=" + resolver);
  }
}
